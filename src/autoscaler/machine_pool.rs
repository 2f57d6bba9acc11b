//! A pool: batch work that the same machine types can take, and how many machines it needs. The work is
//! seen as a flow through the machines at hand. Pure.

use super::decision::CapacityForecast;
use super::model::{MachineRecord, MachineState};
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use crate::wire::user::Priority;
use std::collections::BTreeMap;

/// How far a team's quota lets tasks of one job run at once.
#[derive(Clone)]
pub(super) struct QuotaLimit<'a> {
    /// Team.
    pub(super) team: &'a str,
    /// Machines that such tasks can fill at once.
    pub(super) machines: f64,
}

/// What is left of one job, and by when it should be done.
#[derive(Clone)]
pub(super) struct BacklogWork<'a> {
    /// Priority of the job.
    pub(super) priority: Priority,
    /// Seconds in which it should drain.
    pub(super) horizon_s: f64,
    /// Work in machine seconds.
    pub(super) work_s: f64,
    /// Limit by the team's quota, if it has one.
    pub(super) quota: Option<QuotaLimit<'a>>,
}

/// Work of one team with a quota: however much waits, only so much of it can be done in a time.
#[derive(Default)]
struct QuotaLimitedWork {
    /// Machine seconds.
    work_s: f64,
    /// Sum of machine seconds times machines at once: the mean limit is weighted by the work.
    weighted_machines: f64,
}

impl QuotaLimitedWork {
    fn add(&mut self, work_s: f64, machines: f64) {
        self.work_s += work_s;
        self.weighted_machines += work_s * machines;
    }

    /// Machine seconds of it that can be done within a horizon.
    fn feasible_within(&self, horizon_s: f64) -> f64 {
        if self.work_s <= 0.0 {
            return 0.0;
        }
        self.work_s
            .min(self.weighted_machines / self.work_s * horizon_s)
    }
}

/// Batch work that the same machine types can take.
pub(super) struct MachinePool<'a> {
    /// The machine types.
    pub(super) types: Vec<&'a MachineType>,
    /// What is left of each job.
    pub(super) backlog: Vec<BacklogWork<'a>>,
    /// Machines that the tasks without a machine would fill, of jobs that no zone binds.
    pub(super) unplaced_machines: f64,
    /// Machines that the largest gang needs.
    pub(super) largest_gang_machines: f64,
    /// Machines that all waiting tasks would fill.
    pub(super) waiting_machines: f64,
    /// Whether all tasks without a machine may run on spot machines.
    pub(super) allow_spot: bool,
    /// Whether all work of the pool may run on spot machines in any zone.
    pub(super) all_allow_spot: bool,
    /// On-demand machines for which gangs wait that spot machines failed too often.
    pub(super) on_demand_gang_machines: f64,
    /// Resources of a task, of the last job added.
    pub(super) resources: Resources,
    /// Tasks without a machine, of jobs that no zone binds.
    pub(super) unplaced_tasks: u32,
    /// Tasks without a machine, of jobs bound to zones.
    pub(super) zone_bound_tasks: u32,
    /// Machines for tasks without one, of jobs that have waited for long.
    pub(super) overdue_machines: f64,
}

impl<'a> MachinePool<'a> {
    /// A pool without work.
    pub(super) fn new(types: Vec<&'a MachineType>) -> MachinePool<'a> {
        MachinePool {
            types,
            backlog: Vec::new(),
            unplaced_machines: 0.0,
            largest_gang_machines: 0.0,
            waiting_machines: 0.0,
            allow_spot: true,
            all_allow_spot: true,
            on_demand_gang_machines: 0.0,
            overdue_machines: 0.0,
            zone_bound_tasks: 0,
            resources: Resources::default(),
            unplaced_tasks: 0,
        }
    }

    /// The type of a machine, if it is one of the pool's.
    pub(super) fn type_of(&self, record: &MachineRecord) -> Option<&'a MachineType> {
        let mut types = self.types.iter().copied();
        types.find(|machine_type| machine_type.name == record.machine_type)
    }

    /// Whether a machine is of one of the pool's types.
    pub(super) fn has_type(&self, record: &MachineRecord) -> bool {
        self.type_of(record).is_some()
    }

    /// Whether every task has a machine.
    pub(super) fn is_satisfied(&self) -> bool {
        self.unplaced_tasks + self.zone_bound_tasks == 0
    }

    /// Whether its tasks need GPUs.
    pub(super) fn needs_gpus(&self) -> bool {
        self.resources.gpus > 0
    }

    /// Machines to provision: what the machines at hand get done in time needs none; the rest is spread
    /// over the time that is left once new machines are up.
    pub(super) fn required_machines(&self, forecast: &CapacityForecast<'_>) -> f64 {
        let (machines, capacity) = self.machines_at_hand(forecast);
        let boot_time_s = self
            .types
            .iter()
            .map(|machine_type| machine_type.boot_time_s)
            .fold(0.0, f64::max);
        let mut backlog = self.backlog.clone();
        backlog.sort_by(|a, b| {
            a.priority
                .cmp(&b.priority)
                .then(a.horizon_s.total_cmp(&b.horizon_s))
        });
        let mut unlimited_work_s = 0.0;
        let mut limited_work: BTreeMap<&str, QuotaLimitedWork> = BTreeMap::new();
        let mut required: f64 = 0.0;
        for work in backlog {
            let horizon_s = work.horizon_s;
            match work.quota {
                Some(quota) => limited_work
                    .entry(quota.team)
                    .or_default()
                    .add(work.work_s, quota.machines),
                None => unlimited_work_s += work.work_s,
            }
            let limited_work_s = limited_work
                .values()
                .map(|team| team.feasible_within(horizon_s))
                .sum::<f64>();
            let excess_s = unlimited_work_s + limited_work_s - capacity * horizon_s;
            required = required.max(excess_s / (horizon_s - boot_time_s).max(horizon_s / 2.0));
        }
        required
            .max(self.largest_gang_machines - machines)
            .clamp(0.0, self.unplaced_machines)
    }

    /// The pool's machines that are up or boot, and what they come to without what services take.
    fn machines_at_hand(&self, forecast: &CapacityForecast<'_>) -> (f64, f64) {
        let (mut machines, mut capacity) = (0.0, 0.0);
        for (id, record) in &forecast.view.machines {
            let Some(machine_type) = self.type_of(record) else {
                continue;
            };
            if !matches!(record.state, MachineState::Up | MachineState::Booting) {
                continue;
            }
            let cpus = Resources::of_machine(machine_type).cpus.max(1);
            let service_share = forecast.service_cpus(id) as f64 / cpus as f64;
            machines += 1.0;
            capacity += 1.0 - service_share.min(1.0);
        }
        (machines, capacity)
    }
}
