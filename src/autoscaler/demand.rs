//! Demand: the capacity that jobs need beyond the existing machines. Services, and gangs and arrays of
//! high priority, need machines immediately (`Shortfall`). Batch work that can wait is processed over time
//! by the machines of a pool (`MachinePool`). All functions are pure.

use super::decision::CapacityForecast;
use super::machine_pool::{BacklogWork, MachinePool, QuotaLimit};
use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::quota;
use crate::scheduling::{self, count_fitting_without_backfill};
use crate::settings::ObjectiveKind;
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND};
use crate::wire::cloud::MachineType;
use crate::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;

/// Smallest demand of a job bound to a zone, as a share of one machine. It applies even where the job's
/// work would fill less, since capacity of its pool in other zones is of no use to the job.
const ZONE_BOUND_MINIMUM_MACHINE_SHARE: f64 = 0.2;
/// Waiting time after which cordoned machines are uncordoned for a job's unplaced tasks, even if its pool needs no
/// more machines.
const OVERDUE_WAIT_TIME: Micros = 45 * SECOND;
const MICROS_PER_SECOND: f64 = 1e6;

/// Unplaced tasks with equal requirements, and the machines that can run them.
pub(super) struct Shortfall<'a> {
    /// Machine types that can run the tasks.
    pub(super) types: Vec<&'a MachineType>,
    /// Zones in which a new machine can run the tasks; any zone if `None`.
    pub(super) zones: Option<Vec<&'a str>>,
    /// Whether spot machines are allowed.
    pub(super) spot: bool,
    /// Resources of one task.
    pub(super) resources: Resources,
    /// Number of unplaced tasks.
    pub(super) tasks: u32,
    /// Machines to provision. Fractional values of several shortfalls are added up.
    pub(super) machines: f64,
}

impl Shortfall<'_> {
    /// Returns whether a new machine in this zone can run the tasks.
    pub(super) fn allows_zone(&self, zone: &str) -> bool {
        self.zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&zone))
    }
}

/// Demand of all jobs.
pub(super) struct Demand<'a> {
    /// Capacity needed immediately, in job order.
    pub(super) shortfalls: Vec<Shortfall<'a>>,
    /// Batch work, by the names of the machine types that can run it.
    pub(super) pools: BTreeMap<Vec<&'a str>, MachinePool<'a>>,
}

/// Demand of one job.
struct JobDemand<'a> {
    job: &'a Job,
    spec: &'a JobSpec,
    types: Vec<&'a MachineType>,
    /// Number of its tasks that fit on a machine of the largest type.
    tasks_per_machine: f64,
    /// Number of tasks for which the forecast schedule has no machine.
    unplaced: u32,
    /// Number of queued tasks, including those of pipeline steps that may start soon.
    queued: u32,
    /// Number of queued tasks that the team's quota allows to start.
    within_quota: u32,
}

impl<'a> JobDemand<'a> {
    /// Returns the number of machines that the unplaced tasks fill.
    fn unplaced_machines(&self) -> f64 {
        f64::from(self.unplaced) / self.tasks_per_machine
    }

    /// Returns the number of machines that the queued tasks within the quota fill.
    fn waiting_machines(&self) -> f64 {
        f64::from(self.within_quota) / self.tasks_per_machine
    }

    /// Returns the remaining work in machine seconds, assuming that running tasks are half done on average.
    fn work_s(&self) -> f64 {
        let run_time_s = self.spec.estimated_run_time.max(SECOND) as f64 / MICROS_PER_SECOND;
        let tasks = f64::from(self.queued) + f64::from(self.job.placed) / 2.0;
        tasks * run_time_s / self.tasks_per_machine
    }

    /// Returns the zones in which the job can use a new machine now, or `None` if it can in all zones.
    /// The zones are limited by a fixed zone, by the zone of its placed tasks if the job must stay in a
    /// single zone, or by the limit of tasks per zone if its tasks are spread.
    fn zones(&self, view: &'a ClusterState) -> Option<Vec<&'a str>> {
        let spec = self.spec;
        let bound_to_placed_tasks = spec.single_zone && self.job.placed > 0;
        if spec.zone.is_none() && !spec.zone_spread && !bound_to_placed_tasks {
            return None;
        }
        let mut zones: Vec<&str> = self
            .types
            .iter()
            .flat_map(|machine_type| &machine_type.zones)
            .map(String::as_str)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let zone_count = zones.len();
        scheduling::retain_allowed_zones(view, self.job, &mut zones);
        (zones.len() < zone_count).then_some(zones)
    }

    fn shortfall(
        &self,
        forecast: &CapacityForecast<'_>,
        zones: Option<Vec<&'a str>>,
        tasks: u32,
        machines: f64,
    ) -> Shortfall<'a> {
        Shortfall {
            types: self.types.clone(),
            zones,
            spot: self.spec.allow_spot && forecast.policy.use_spot,
            resources: self.spec.resources,
            tasks,
            machines,
        }
    }
}

/// Computes the demand of all jobs.
pub(super) fn collect<'a>(forecast: &CapacityForecast<'a>) -> Demand<'a> {
    let view = forecast.view;
    let unplaced: HashMap<&str, u32> = forecast
        .schedule
        .unplaced_tasks
        .iter()
        .map(|(id, tasks)| (&**id, *tasks))
        .collect();
    let service_use = resources_of_services(view);
    let mut demand = Demand {
        shortfalls: Vec::new(),
        pools: BTreeMap::new(),
    };
    for (id, job) in &view.jobs {
        let unplaced = unplaced.get(&**id).copied().unwrap_or(0);
        let Some(job) = job_demand(forecast, id, job, unplaced) else {
            continue;
        };
        let spec = job.spec;
        if spec.kind == JobKind::Service || spec.priority <= Priority::High {
            let zones = job.zones(view);
            let machines = job.unplaced_machines();
            demand
                .shortfalls
                .push(job.shortfall(forecast, zones, unplaced, machines));
        } else if spec.allow_spot && !scheduling::may_use_spot(job.job) {
            demand.add_on_demand_gang(forecast, &job);
        } else {
            let starved = forecast
                .schedule
                .starved_tasks
                .get(id)
                .copied()
                .unwrap_or(0);
            let team_use = service_use.get(&*spec.team).copied().unwrap_or_default();
            demand.add_batch(forecast, &job, starved, &team_use);
        }
    }
    demand
}

/// Returns the resources that each team's services use or wait for. This part of the team's quota is not
/// available to its batch work.
fn resources_of_services(view: &ClusterState) -> HashMap<&str, Resources> {
    let mut by_team: HashMap<&str, Resources> = HashMap::new();
    for job in view.jobs.values() {
        if job.spec.kind == JobKind::Service {
            let tasks = i64::from(job.placed + job.queued());
            by_team
                .entry(&job.spec.team)
                .or_default()
                .add(&job.spec.resources.for_tasks(tasks));
        }
    }
    by_team
}

/// Returns the demand of a job, or `None` if it has none or no machine type can run its tasks.
fn job_demand<'a>(
    forecast: &CapacityForecast<'a>,
    id: &JobId,
    job: &'a Job,
    unplaced: u32,
) -> Option<JobDemand<'a>> {
    let view = forecast.view;
    let spec: &JobSpec = &job.spec;
    // The next steps of a pipeline count as soon as the preceding steps are about to end.
    let queued = view.queued_or_soon_ready(job);
    let within_quota = queued.saturating_sub(forecast.schedule.quota_limited_count(id));
    let placed_service = spec.kind == JobKind::Service && unplaced == 0;
    if queued + job.placed == 0 || job.cancelled() || placed_service {
        return None;
    }
    let types = candidate_types(view, spec);
    let tasks_per_machine = types
        .iter()
        .map(|machine_type| Resources::of_machine(machine_type).count_fitting(&spec.resources))
        .max()?;
    Some(JobDemand {
        job,
        spec,
        types,
        tasks_per_machine: tasks_per_machine.max(1) as f64,
        unplaced,
        queued,
        within_quota,
    })
}

/// Returns the machine types on which a job's tasks fit and are allowed to run.
fn candidate_types<'a>(view: &'a ClusterState, spec: &JobSpec) -> Vec<&'a MachineType> {
    let mut types: Vec<&MachineType> = view
        .machine_types
        .values()
        .filter(|machine_type| {
            spec.machine_types
                .as_ref()
                .is_none_or(|names| names.contains(&machine_type.name))
                && Resources::of_machine(machine_type).fits(&spec.resources)
        })
        .collect();
    // Machines with GPUs cost several times as much, so tasks without GPUs use other types if there are any.
    if spec.resources.gpus == 0 && types.iter().any(|machine_type| machine_type.gpus == 0.0) {
        types.retain(|machine_type| machine_type.gpus == 0.0);
    }
    types
}

impl<'a> Demand<'a> {
    /// Returns the pool of the machine types that can run a job, and creates it if necessary.
    fn pool(&mut self, job: &JobDemand<'a>) -> &mut MachinePool<'a> {
        let names: Vec<&str> = job.types.iter().map(|t| t.name.as_str()).collect();
        self.pools
            .entry(names)
            .or_insert_with(|| MachinePool::new(job.types.clone()))
    }

    /// Adds a gang that lost too much work on spot machines and now requires on-demand machines.
    fn add_on_demand_gang(&mut self, forecast: &CapacityForecast<'a>, job: &JobDemand<'a>) {
        let pool = self.pool(job);
        pool.waiting_machines += job.waiting_machines();
        pool.on_demand_gang_machines += job.waiting_machines();
        pool.all_allow_spot = false;
        // The forecast schedule places all tasks of a gang or none, so free resources are subtracted here.
        let need = &job.spec.resources;
        let free: i64 = forecast
            .view
            .machines
            .iter()
            .filter(|(_, record)| !record.spot && pool.has_type(record))
            .filter_map(|(id, _)| {
                let free = forecast.schedule.free_resources.get(id)?;
                let usage = forecast.view.usage(id);
                Some(count_fitting_without_backfill(free, &usage, need))
            })
            .sum();
        let lacking = i64::from(job.unplaced) - free;
        if lacking > 0 {
            let zones = (job.unplaced > 0)
                .then(|| job.zones(forecast.view))
                .flatten();
            self.shortfalls.push(Shortfall {
                spot: false,
                ..job.shortfall(
                    forecast,
                    zones,
                    lacking as u32,
                    lacking as f64 / job.tasks_per_machine,
                )
            });
        }
    }

    /// Adds batch work of normal or low priority. `starved` is the number of its tasks within the minimum
    /// share of their class, `team_use` the part of the team's quota that its services use.
    fn add_batch(
        &mut self,
        forecast: &CapacityForecast<'a>,
        job: &JobDemand<'a>,
        starved: u32,
        team_use: &Resources,
    ) {
        let spec = job.spec;
        let zones = (job.unplaced > 0)
            .then(|| job.zones(forecast.view))
            .flatten();
        // A minimum share is due immediately, and the throughput of the existing machines does not show
        // whether any of them has enough free resources for one task: tasks that need most of a machine
        // never fit on machines that run small tasks.
        if starved > 0 {
            let machines = f64::from(starved) / job.tasks_per_machine;
            self.shortfalls
                .push(job.shortfall(forecast, zones.clone(), starved, machines));
        }
        let horizon_s = drain_horizon(forecast, spec) as f64 / MICROS_PER_SECOND;
        let waited = forecast.wall_clock.saturating_sub(job.job.waiting_since);
        let pool = self.pool(job);
        pool.backlog.push(BacklogWork {
            priority: spec.priority,
            horizon_s,
            work_s: job.work_s(),
            quota: quota::max_concurrent_tasks(forecast.teams, spec, team_use).map(|tasks| {
                QuotaLimit {
                    team: &spec.team,
                    machines: tasks as f64 / job.tasks_per_machine,
                }
            }),
        });
        if job.unplaced > 0 && waited > OVERDUE_WAIT_TIME {
            pool.overdue_machines += job.unplaced_machines();
        }
        // A job bound to a zone cannot use capacity in other zones, and the pool provisions machines in
        // the cheapest zone. Without a separate shortfall such a job could wait forever.
        if zones.is_some() {
            pool.zone_bound_tasks += job.unplaced;
            let due_machines = job.work_s() / horizon_s;
            let machines = job
                .unplaced_machines()
                .min(due_machines.max(ZONE_BOUND_MINIMUM_MACHINE_SHARE));
            self.shortfalls
                .push(job.shortfall(forecast, zones, job.unplaced, machines));
            return;
        }
        pool.add_in_any_zone(job);
    }
}

impl<'a> MachinePool<'a> {
    /// Adds a job that is not bound to a zone and can use new machines of the pool in any zone.
    fn add_in_any_zone(&mut self, job: &JobDemand<'a>) {
        let spec = job.spec;
        self.unplaced_machines += job.unplaced_machines();
        self.waiting_machines += job.waiting_machines();
        if spec.kind == JobKind::Gang {
            let gang_machines = f64::from(spec.task_count) / job.tasks_per_machine;
            self.largest_gang_machines = self.largest_gang_machines.max(gang_machines);
        }
        self.all_allow_spot &= spec.allow_spot && spec.zone.is_none();
        self.resources = spec.resources;
        if job.unplaced > 0 {
            self.allow_spot &= spec.allow_spot;
            self.unplaced_tasks += job.unplaced;
        }
    }
}

/// Returns the time within which a job's backlog should be processed: a share of the tightest objective
/// of its class, or the default for its priority.
fn drain_horizon(forecast: &CapacityForecast<'_>, spec: &JobSpec) -> Micros {
    let policy = forecast.policy;
    let start_drain_share = match spec.kind {
        JobKind::Gang => policy.gang_start_drain_share,
        _ => policy.start_drain_share,
    };
    let default = match spec.priority {
        Priority::Low => policy.low_drain_time,
        _ => policy.normal_drain_time,
    };
    forecast
        .objectives
        .iter()
        .filter(|objective| objective.class == spec.class)
        .filter_map(|objective| match objective.kind {
            ObjectiveKind::Finished => {
                Some((objective.within as f64 * policy.completion_drain_share) as Micros)
            }
            ObjectiveKind::Wait => Some((objective.within as f64 * start_drain_share) as Micros),
            ObjectiveKind::Deadline => None,
        })
        .min()
        .unwrap_or(default)
        .max(SECOND)
}
