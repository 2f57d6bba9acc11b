//! Machine pool: batch work that the same machine types can run, and the number of machines that it needs.
//! The estimate compares the remaining work with the throughput of the existing machines. All functions
//! are pure.

use super::decision::CapacityForecast;
use super::model::{MachineRecord, MachineState};
use crate::jobs::model::Resources;
use crate::wire::cloud::MachineType;
use crate::wire::user::Priority;
use std::collections::BTreeMap;

/// Limit that a team's quota sets on the concurrent tasks of one job.
#[derive(Clone)]
pub(super) struct QuotaLimit<'a> {
    /// Team.
    pub(super) team: &'a str,
    /// Number of machines that the tasks can fill concurrently.
    pub(super) machines: f64,
}

/// Remaining work of one job, and the time within which it should be done.
#[derive(Clone)]
pub(super) struct BacklogWork<'a> {
    /// Priority of the job.
    pub(super) priority: Priority,
    /// Time within which the work should be done, in seconds.
    pub(super) horizon_s: f64,
    /// Remaining work in machine seconds.
    pub(super) work_s: f64,
    /// Limit by the quota of the team, if it has a quota.
    pub(super) quota: Option<QuotaLimit<'a>>,
}

/// Work of one team with a quota. The quota limits how much of it can be done in a given time, regardless
/// of the size of the backlog.
#[derive(Default)]
struct QuotaLimitedWork {
    /// Work in machine seconds.
    work_s: f64,
    /// Sum of machine seconds multiplied by the machine limit. Divided by `work_s` it gives the mean limit
    /// weighted by work.
    weighted_machines: f64,
}

impl QuotaLimitedWork {
    fn add(&mut self, work_s: f64, machines: f64) {
        self.work_s += work_s;
        self.weighted_machines += work_s * machines;
    }

    /// Returns the machine seconds of work that can be done within a horizon.
    fn feasible_within(&self, horizon_s: f64) -> f64 {
        if self.work_s <= 0.0 {
            return 0.0;
        }
        self.work_s
            .min(self.weighted_machines / self.work_s * horizon_s)
    }
}

/// Batch work that the same machine types can run.
pub(super) struct MachinePool<'a> {
    /// Machine types of the pool.
    pub(super) types: Vec<&'a MachineType>,
    /// Remaining work of each job.
    pub(super) backlog: Vec<BacklogWork<'a>>,
    /// Number of machines that unplaced tasks of jobs not bound to a zone would fill.
    pub(super) unplaced_machines: f64,
    /// Number of machines that the largest gang needs.
    pub(super) largest_gang_machines: f64,
    /// Number of machines that all waiting tasks would fill.
    pub(super) waiting_machines: f64,
    /// Whether all unplaced tasks may run on spot machines.
    pub(super) allow_spot: bool,
    /// Whether all work of the pool may run on spot machines in any zone.
    pub(super) all_allow_spot: bool,
    /// Number of on-demand machines needed by gangs that lost too much work on spot machines.
    pub(super) on_demand_gang_machines: f64,
    /// Resources of one task of the last job added.
    pub(super) resources: Resources,
    /// Number of unplaced tasks of jobs not bound to a zone.
    pub(super) unplaced_tasks: u32,
    /// Number of unplaced tasks of jobs bound to zones.
    pub(super) zone_bound_tasks: u32,
    /// Number of machines that unplaced tasks of overdue jobs would fill.
    pub(super) overdue_machines: f64,
}

impl<'a> MachinePool<'a> {
    /// Creates a pool without work.
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

    /// Returns the type of a machine if it belongs to the pool.
    pub(super) fn type_of(&self, record: &MachineRecord) -> Option<&'a MachineType> {
        let mut types = self.types.iter().copied();
        types.find(|machine_type| machine_type.name == record.machine_type)
    }

    /// Returns whether the type of a machine belongs to the pool.
    pub(super) fn has_type(&self, record: &MachineRecord) -> bool {
        self.type_of(record).is_some()
    }

    /// Returns whether every task of the pool is placed.
    pub(super) fn is_satisfied(&self) -> bool {
        self.unplaced_tasks + self.zone_bound_tasks == 0
    }

    /// Returns whether tasks of the pool need GPUs.
    pub(super) fn needs_gpus(&self) -> bool {
        self.resources.gpus > 0
    }

    /// Returns the number of machines to provision. Work that the existing machines finish in time needs
    /// no new machine; the rest is divided by the time that remains after new machines have booted.
    pub(super) fn required_machines(&self, forecast: &CapacityForecast<'_>) -> f64 {
        let (machines, capacity) = self.machine_count_and_capacity(forecast);
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

    /// Returns the number of the pool's machines that are up or booting, and their capacity in machines
    /// without the share used by services.
    fn machine_count_and_capacity(&self, forecast: &CapacityForecast<'_>) -> (f64, f64) {
        let (mut machines, mut capacity) = (0.0, 0.0);
        for (id, record) in &forecast.view.machines {
            let Some(machine_type) = self.type_of(record) else {
                continue;
            };
            if !matches!(record.state, MachineState::Up | MachineState::Booting) {
                continue;
            }
            let total = Resources::of_machine(machine_type);
            let usage = forecast.view.usage(id);
            let share = |used: i64, total: i64| used as f64 / total.max(1) as f64;
            let heartbeat_share = share(usage.service_heartbeat_bytes, total.heartbeat_bytes);
            let service_share = share(usage.service_cpus, total.cpus).max(heartbeat_share);
            machines += 1.0;
            capacity += 1.0 - service_share.min(1.0);
        }
        (machines, capacity)
    }
}
