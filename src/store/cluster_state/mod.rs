//! The cluster state as this controller has read it from the state service.
//!
//! [`ClusterState`] is pure memory: it does no input or output and has no clock. It is changed through
//! [`ClusterState::put`], [`ClusterState::delete`] and [`ClusterState::retain_prefix`], which `WatchCache`
//! calls with what it lists, watches and writes itself, through [`ClusterState::remember_finished_job`] for
//! final states read one by one, and through [`ClusterState::merge_cancelled`] for cancellations that peers
//! report. Everybody else only reads it.
//!
//! `apply` dispatches a change by the kind of its key to one function a kind; each of these lives in the
//! file of the data that it changes and updates the indexes along the way, so that the cost of a change
//! follows the size of the change and not that of the cluster.

mod apply;
mod cancellations;
mod dependencies;
mod finished_jobs;
mod indexes;
mod job;
mod job_records;
mod key_versions;
mod machines;
mod queries;
mod task_blocks;

pub use indexes::Indexes;
pub use job::Job;

use self::cancellations::CancellationLog;
use self::finished_jobs::{FinishedJobCache, RecentJobEnds};
use self::key_versions::KeyVersions;
use self::machines::TerminationProgress;
use self::task_blocks::BlockPartKey;
use crate::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use crate::fairness::service_levels::ServiceLevels;
use crate::fairness::{Counts, PriorityBoosts};
use crate::ids::MachineId;
use crate::jobs::model::{FinishedJob, JobId, MachineUsage, Placement, StoredBlock, TaskBlock};
use crate::membership::{Leader, Member, Shard, Version};
use crate::store::keys;
use crate::wire::cloud::MachineType;
use crate::wire::state::Precondition;
use ciborium::Value;
use foldhash::{HashMap, HashSet};
use std::collections::{BTreeMap, BTreeSet};

/// The cluster state: a decoded copy of the keys of the state service, with indexes over it.
#[derive(Default)]
pub struct ClusterState {
    /// Every change up to this revision of the state service is applied.
    pub revision: u64,
    /// Versions of the keys that exist and revisions at which others were deleted.
    key_versions: KeyVersions,
    /// Controllers alive, by name.
    pub members: BTreeMap<String, Member>,
    /// The leader.
    pub leader: Option<Leader>,
    /// Shards with their owners and terms, by number.
    pub shards: BTreeMap<u32, Shard>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Block keys that exist, by job and number of the block. The value is kept only while the job's own
    /// record is not known; afterwards `jobs` has it.
    block_keys: HashMap<JobId, BTreeMap<u32, Option<StoredBlock>>>,
    /// Part keys that blocks are split into, or are about to be.
    block_parts: HashMap<JobId, BTreeMap<BlockPartKey, TaskBlock>>,
    /// Dependencies of jobs that do not fit into their records, by job and number of the key.
    dependency_lists: HashMap<JobId, BTreeMap<u32, Vec<JobId>>>,
    /// Unfinished jobs that depend on a job, by that job.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Final states of jobs that unfinished ones depend on: kept as long as these exist.
    finished_dependencies: HashMap<JobId, FinishedJob>,
    /// Versions that controllers were started with, by name.
    pub versions: BTreeMap<String, Version>,
    /// The newer layout of stored values, once every controller of the settings reads it.
    pub layout: Option<Version>,
    /// Machines, as their keys, scale-out requests and termination batches together say.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Scale-out requests, by name.
    pub scale_out_requests: BTreeMap<String, ScaleOutRequest>,
    /// Termination batches, by name.
    pub termination_batches: BTreeMap<String, TerminationBatch>,
    /// Machines that some termination batch names.
    terminating: HashMap<MachineId, TerminationProgress>,
    /// State by the machine's own key, where a termination batch overrides it.
    overridden_states: HashMap<MachineId, MachineState>,
    /// Job counts of the controllers, by their names.
    pub counts: BTreeMap<String, Counts>,
    /// Priority boosts of the last fairness round.
    pub priority_boosts: PriorityBoosts,
    /// Totals of ended jobs for each class and team.
    pub service_levels: ServiceLevels,
    /// Jobs that ended lately and may not be in `service_levels` yet.
    recent_job_ends: RecentJobEnds,
    /// Machine types of the cloud, by name.
    pub machine_types: BTreeMap<String, MachineType>,
    /// Final states read lately.
    finished_jobs: FinishedJobCache,
    /// Tasks on each machine, by job and index.
    pub tasks_by_machine: BTreeMap<MachineId, BTreeMap<(JobId, u32), Placement>>,
    /// What the tasks on each machine add up to.
    pub usage_by_machine: HashMap<MachineId, MachineUsage>,
    /// Lookups for decisions.
    indexes: Indexes,
    /// CPUs under which `Indexes::by_free_cpus` lists each machine, in thousandths.
    free_cpus_by_machine: HashMap<MachineId, i64>,
    /// Machines whose key or tasks changed since this set was emptied last.
    pub changed_machines: HashSet<MachineId>,
    /// Counts changes to the set of machines.
    pub machines_epoch: u64,
    /// Images that each machine has probably cached.
    pub images: HashMap<MachineId, HashSet<String>>,
    /// Counts changes, so that loops know when to look again.
    pub epoch: u64,
    /// Cancellations in the order in which they were read: what peers ask for.
    cancellations: CancellationLog,
}

impl ClusterState {
    /// Version of a key; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.key_versions.version(key)
    }

    /// The precondition that a key still has the version known here.
    pub fn precondition(&self, key: impl Into<String>) -> Precondition {
        let key = key.into();
        Precondition {
            version: self.version(&key),
            key,
        }
    }

    /// Whether a key is known to have been deleted, or belongs to a machine that the cloud has terminated.
    pub fn deleted(&self, key: &str) -> bool {
        let terminated =
            |machine: &str| self.terminating.get(machine) == Some(&TerminationProgress::Terminated);
        self.key_versions.is_deleted(key)
            || key.strip_prefix(keys::MACHINES).is_some_and(terminated)
    }

    /// Applies a write with the key's new version. Ignored if this or a newer change of the key is known.
    pub fn put(&mut self, key: &str, value: &Value, version: u64) {
        if self.key_versions.record_put(key, version) {
            self.epoch += 1;
            self.apply(key, Some(value));
        }
    }

    /// Applies a deletion at a revision. Ignored if this or a newer change of the key is known.
    pub fn delete(&mut self, key: &str, revision: u64) {
        if self.key_versions.record_delete(key, revision) {
            self.epoch += 1;
            self.record_job_end(key, revision);
            self.apply(key, None);
        }
    }

    /// After a full read of a prefix at a revision: removes keys that it did not list and that are not newer.
    pub fn retain_prefix(&mut self, prefix: &str, listed: &HashSet<String>, revision: u64) {
        for key in self.key_versions.missing(prefix, listed, revision) {
            self.key_versions.forget(&key);
            self.epoch += 1;
            // The job ended somewhere between the last revision known here and the read. It is counted at
            // the start of that gap: a leader that added it up already has done so at a later revision.
            let gap_start = self.revision.saturating_add(1).min(revision);
            self.record_job_end(&key, gap_start);
            self.apply(&key, None);
        }
    }
}
