//! Input and result of a scheduling run. Plain data: the caller owns the input for the duration of one
//! run, and owns the result.

use crate::autoscaler::model::MachineRecord;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, Resources};
use crate::settings::{Objective, Team};
use crate::store::cluster_state::ClusterState;
use crate::time::Micros;
use foldhash::HashMap;
use std::collections::BTreeMap;

/// A machine on which tasks may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulableMachine {
    /// Session (agent epoch) of its worker.
    pub session: u64,
    /// Whether it belongs to a shard of this controller. On other owners' machines only gangs, and services
    /// that this controller owns, are placed.
    pub owned: bool,
}

/// Input of a scheduling run.
pub struct SchedulingInput<'a> {
    /// Jobs, machines and their indexes.
    pub view: &'a ClusterState,
    /// Wall-clock time.
    pub wall_clock: Micros,
    /// Teams with their quotas.
    pub teams: &'a [Team],
    /// Service-level objectives of the job classes.
    pub objectives: &'a [Objective],
    /// Returns the session and ownership of a machine on which tasks may be placed; `None` for other
    /// machines.
    pub schedulable_machine: &'a dyn Fn(&MachineId, &MachineRecord) -> Option<SchedulableMachine>,
    /// Resources of tasks that have certainly ended on their machines although the task blocks do not
    /// record it yet: that record may be written later.
    pub released_resources: &'a HashMap<MachineId, Resources>,
    /// Returns whether a job is in backoff and must not be scheduled now.
    pub in_backoff: &'a dyn Fn(&str) -> bool,
    /// Returns whether this controller owns a job. Tasks of owned jobs come first among jobs of equal
    /// priority, and may preempt without delay.
    pub owns_job: &'a dyn Fn(&str) -> bool,
    /// Returns whether this controller owns a machine.
    pub owns_machine: &'a dyn Fn(&str) -> bool,
    /// Whether this controller places gangs.
    pub place_gangs: bool,
    /// Whether arrays are placed in this run. They may be delayed until a write is worth its cost.
    pub place_arrays: bool,
    /// Whether steps of pipelines with a deadline are placed in this run.
    pub place_deadline_steps: bool,
    /// Whether to place tasks on booting machines, too, to compute which resources will be missing once
    /// those are up.
    pub forecast: bool,
    /// Limit on the writes that the schedule may need; `None` for no limit.
    pub write_limit: Option<WriteLimit<'a>>,
}

impl<'a> SchedulingInput<'a> {
    /// Returns the input of a controller that owns every job and machine, places all kinds of jobs and has no limit on
    /// its writes. No team has a quota, and no class has an objective.
    pub fn of_whole_cluster(
        view: &'a ClusterState,
        wall_clock: Micros,
        schedulable_machine: &'a dyn Fn(&MachineId, &MachineRecord) -> Option<SchedulableMachine>,
        released_resources: &'a HashMap<MachineId, Resources>,
    ) -> SchedulingInput<'a> {
        SchedulingInput {
            view,
            wall_clock,
            teams: &[],
            objectives: &[],
            schedulable_machine,
            released_resources,
            in_backoff: &|_| false,
            owns_job: &|_| true,
            owns_machine: &|_| true,
            place_gangs: true,
            place_arrays: true,
            place_deadline_steps: true,
            forecast: false,
            write_limit: None,
        }
    }
}

/// Limit on the writes of a schedule. Nothing beyond it is computed: with hundreds of jobs waiting for
/// writes, a full schedule costs much processor time.
#[derive(Clone, Copy)]
pub struct WriteLimit<'a> {
    /// Maximum number of jobs with writes.
    pub max_jobs: usize,
    /// Returns whether a job has a transaction in flight; changes scheduled for it are not written now.
    pub has_transaction_in_flight: &'a dyn Fn(&JobId) -> bool,
}

/// The result of a scheduling run.
#[derive(Default, Debug)]
pub struct Schedule {
    /// Changes to write, in order.
    pub changes: Vec<JobChange>,
    /// Number of tasks without a machine, by job, except tasks held back by their team's quota.
    pub unplaced_tasks: Vec<(JobId, u32)>,
    /// Number of unplaced tasks within the minimum share of a starved class, by job.
    pub starved_tasks: HashMap<JobId, u32>,
    /// Number of tasks held back by their team's quota, by job.
    pub quota_limited_tasks: HashMap<JobId, u32>,
    /// Free resources that remain on each schedulable machine; filled only in a forecast.
    pub free_resources: BTreeMap<MachineId, Resources>,
}

impl Schedule {
    /// Returns the number of a job's tasks that its team's quota holds back.
    pub fn quota_limited_count(&self, id: &JobId) -> u32 {
        self.quota_limited_tasks.get(id).copied().unwrap_or(0)
    }
}
