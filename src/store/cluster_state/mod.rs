//! Cluster state as read from the state service by this controller.
//!
//! [`ClusterState`] is an in-memory data structure without I/O and without a clock. It is changed through
//! [`ClusterState::put`], [`ClusterState::delete`] and [`ClusterState::retain_prefix`], which `WatchCache`
//! calls with the results of its lists, watches and own writes, through
//! [`ClusterState::cache_finished_job`] for final states read individually, and through
//! [`ClusterState::merge_cancelled`] for cancellations that peers report. All other code only reads it.
//!
//! `apply` dispatches a change by the kind of its key to one function per kind. Each of these functions is in
//! the file of the data that it changes and updates the indexes incrementally, so that the cost of a change
//! depends on the size of the change and not on the size of the cluster.

mod apply;
mod cancellations;
mod dependencies;
mod finished_jobs;
mod indexes;
mod job;
mod job_memory;
mod job_records;
mod key_versions;
mod machines;
mod queries;
mod task_blocks;
mod urgency;

pub use indexes::Indexes;
pub use job::Job;
pub use job_memory::estimated_bytes_of_unplaced_job;

use self::cancellations::CancellationLog;
use self::finished_jobs::{FinishedJobCache, RecentJobEnds};
use self::key_versions::KeyVersions;
use self::machines::TerminationProgress;
use self::task_blocks::BlockPartKey;
use crate::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use crate::fairness::service_levels::ServiceLevels;
use crate::fairness::{PriorityBoosts, TaskCounts};
use crate::ids::MachineId;
use crate::jobs::model::{FinishedJob, JobId, MachineUsage, Placement, StoredBlock, TaskBlock};
use crate::membership::{LayoutVersion, Leader, Member, Shard};
use crate::store::keys;
use crate::wire::cloud::MachineType;
use crate::wire::state::Precondition;
use ciborium::Value;
use foldhash::{HashMap, HashSet};
use std::collections::{BTreeMap, BTreeSet};

/// Decoded copy of the keys of the state service, with indexes over it.
#[derive(Default)]
pub struct ClusterState {
    /// Revision of the state service up to which every change is applied.
    pub revision: u64,
    /// Versions of the existing keys and deletion revisions of deleted keys.
    key_versions: KeyVersions,
    /// Live controllers, by name.
    pub members: BTreeMap<String, Member>,
    /// Current leader.
    pub leader: Option<Leader>,
    /// Shards with their owners and terms, by number.
    pub shards: BTreeMap<u32, Shard>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Existing block keys, by job and block number. The value is kept only until the job's record is known;
    /// afterwards `jobs` contains it.
    block_keys: HashMap<JobId, BTreeMap<u32, Option<StoredBlock>>>,
    /// Part keys into which blocks are split or about to be split.
    block_parts: HashMap<JobId, BTreeMap<BlockPartKey, TaskBlock>>,
    /// Dependencies of jobs that do not fit into their records, by job and number of the list.
    dependency_lists: HashMap<JobId, BTreeMap<u32, Vec<JobId>>>,
    /// Unfinished dependents of a job, by that job.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Final states of jobs on which unfinished jobs depend. Kept as long as these unfinished jobs exist.
    finished_dependencies: HashMap<JobId, FinishedJob>,
    /// Jobs whose priority and deadline are recomputed at the end of the load; `None` while no load is in progress.
    deferred_urgency: Option<HashSet<JobId>>,
    /// Layout version that each controller recorded as supported, by controller name.
    pub versions: BTreeMap<String, LayoutVersion>,
    /// Newer layout of stored values. Set once every controller in the settings can read it.
    pub layout: Option<LayoutVersion>,
    /// Machines, as determined by their keys, scale-out requests and termination batches together.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Scale-out requests, by name.
    pub scale_out_requests: BTreeMap<String, ScaleOutRequest>,
    /// Termination batches, by name.
    pub termination_batches: BTreeMap<String, TerminationBatch>,
    /// Machines in termination batches.
    terminating: HashMap<MachineId, TerminationProgress>,
    /// State in the machine's own key, for machines whose state a termination batch overrides.
    overridden_states: HashMap<MachineId, MachineState>,
    /// Task counts of each controller, by controller name.
    pub counts: BTreeMap<String, TaskCounts>,
    /// Priority boosts of the last fairness round.
    pub priority_boosts: PriorityBoosts,
    /// Totals of ended jobs for each class and team.
    pub service_levels: ServiceLevels,
    /// Recently ended jobs that may not be included in `service_levels` yet.
    recent_job_ends: RecentJobEnds,
    /// Machine types of the cloud, by name.
    pub machine_types: BTreeMap<String, MachineType>,
    /// Recently read final states.
    finished_jobs: FinishedJobCache,
    /// Tasks on each machine, by job and index.
    pub tasks_by_machine: BTreeMap<MachineId, BTreeMap<(JobId, u32), Placement>>,
    /// Total resource usage of the tasks on each machine.
    pub usage_by_machine: HashMap<MachineId, MachineUsage>,
    /// Indexes for decisions.
    indexes: Indexes,
    /// Free CPUs with which each machine is listed in `Indexes::by_free_cpus`, in thousandths.
    free_cpus_by_machine: HashMap<MachineId, i64>,
    /// Machines whose key or tasks changed since this set was last emptied.
    pub changed_machines: HashSet<MachineId>,
    /// Counter of changes to the set of machines.
    pub machines_change_count: u64,
    /// Images that are probably cached on each machine.
    pub images: HashMap<MachineId, HashSet<String>>,
    /// Counter of changes, with which loops detect that they have to evaluate the state again.
    pub change_count: u64,
    /// Cancellations in the order in which they were read, for requests from peers.
    cancellations: CancellationLog,
}

impl ClusterState {
    /// Returns the version of a key, or 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.key_versions.version(key)
    }

    /// Returns the precondition that a key still has the version in this cache.
    pub fn precondition(&self, key: impl Into<String>) -> Precondition {
        let key = key.into();
        Precondition {
            version: self.version(&key),
            key,
        }
    }

    /// Returns whether a key is known to have been deleted or belongs to a machine terminated by the cloud.
    pub fn is_deleted(&self, key: &str) -> bool {
        let terminated =
            |machine: &str| self.terminating.get(machine) == Some(&TerminationProgress::Terminated);
        self.key_versions.is_deleted(key)
            || key.strip_prefix(keys::MACHINES).is_some_and(terminated)
    }

    /// Applies a write with the key's new version. Ignored if this or a newer change of the key was already
    /// applied.
    pub fn put(&mut self, key: &str, value: &Value, version: u64) {
        if self.key_versions.record_put(key, version) {
            self.change_count += 1;
            self.apply(key, Some(value));
        }
    }

    /// Applies a deletion at a revision. Ignored if this or a newer change of the key was already applied.
    pub fn delete(&mut self, key: &str, revision: u64) {
        if self.key_versions.record_delete(key, revision) {
            self.change_count += 1;
            self.record_job_end(key, revision);
            self.apply(key, None);
        }
    }

    /// Removes the keys under a prefix that a full read at a revision did not list and that are not newer
    /// than it.
    pub fn retain_prefix(&mut self, prefix: &str, listed: &HashSet<String>, revision: u64) {
        for key in self.key_versions.unlisted_keys(prefix, listed, revision) {
            self.key_versions.remove_version(&key);
            self.change_count += 1;
            // The job ended between the last revision applied here and the revision of the read. Its end is
            // recorded at the start of this interval: a leader that already included it in the totals has
            // done so at a later revision, so that it is not counted twice.
            let interval_start = self.revision.saturating_add(1).min(revision);
            self.record_job_end(&key, interval_start);
            self.apply(&key, None);
        }
    }
}
