//! What a scheduling run reads besides the cluster state, and what it returns. Plain data: the caller
//! owns the input for the length of one run, and the result belongs to the caller.

use crate::autoscaler::model::MachineRecord;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, Resources};
use crate::settings::{Objective, Team};
use crate::store::cluster_state::ClusterState;
use crate::time::Micros;
use foldhash::HashMap;
use std::collections::BTreeMap;

/// A machine that may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulableMachine {
    /// Session (agent epoch) of its worker.
    pub session: u64,
    /// Whether it belongs to the scheduling controller's shards. Other owners' machines are given gangs,
    /// and services that belong to the scheduling controller.
    pub owned: bool,
}

/// What a schedule is computed from.
pub struct SchedulingInput<'a> {
    /// Jobs, machines and their indexes.
    pub view: &'a ClusterState,
    /// Time of day.
    pub wall_clock: Micros,
    /// Teams with their quotas.
    pub teams: &'a [Team],
    /// Service-level objectives of the job classes.
    pub objectives: &'a [Objective],
    /// Which machines may be given tasks.
    pub schedulable: &'a dyn Fn(&MachineId, &MachineRecord) -> Option<SchedulableMachine>,
    /// Resources of tasks that have certainly left their machines although the task blocks do not record
    /// it yet: that bookkeeping can be written later.
    pub freed: &'a HashMap<MachineId, Resources>,
    /// Whether a job is in back-off and must not be tried now.
    pub in_backoff: &'a dyn Fn(&str) -> bool,
    /// Whether the scheduling controller owns a job: its tasks come first, and preempt without delay.
    pub owns_job: &'a dyn Fn(&str) -> bool,
    /// Whether the scheduling controller owns a machine.
    pub owns_machine: &'a dyn Fn(&str) -> bool,
    /// Whether this controller places gangs.
    pub place_gangs: bool,
    /// Whether arrays are placed in this run: they can wait until a write is worth its cost.
    pub place_arrays: bool,
    /// The same for steps of pipelines with a deadline.
    pub place_deadline_steps: bool,
    /// Also place on machines that are still booting, to see what will be missing after that.
    pub forecast: bool,
    /// How much of the schedule can be written; `None` for all of it.
    pub write_limit: Option<Writes<'a>>,
}

/// How much of a schedule can be written. Nothing is computed beyond that, because with hundreds of jobs
/// waiting for writes a full schedule costs a controller much processor time.
#[derive(Clone, Copy)]
pub struct Writes<'a> {
    /// Number of jobs.
    pub jobs: usize,
    /// Whether a job has a transaction under way: what is scheduled for it is not written now.
    pub busy: &'a dyn Fn(&JobId) -> bool,
}

/// The result of a scheduling run.
#[derive(Default, Debug)]
pub struct Schedule {
    /// Changes to write, in order.
    pub changes: Vec<JobChange>,
    /// Tasks without a machine, by job; those held back by their team's quota are not among them.
    pub unplaced: Vec<(JobId, u32)>,
    /// Of these, tasks within the minimum share of a starved class.
    pub starved: HashMap<JobId, u32>,
    /// Tasks held back by their team's quota, by job.
    pub limited_by_quota: HashMap<JobId, u32>,
    /// Resources left on each schedulable machine; only in a forecast.
    pub free_resources: BTreeMap<MachineId, Resources>,
}

impl Schedule {
    /// Tasks of a job that its team's quota holds back.
    pub fn limited(&self, id: &JobId) -> u32 {
        self.limited_by_quota.get(id).copied().unwrap_or(0)
    }
}
