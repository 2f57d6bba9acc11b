//! Gang scheduling: places all tasks of a gang or none. Where backfill tasks occupy the machines, they
//! are stopped with time to save a checkpoint, and the gang waits until they have left.

use super::attempt::Assignment;
use super::backfill::{BackfillTasks, GpuDemand};
use super::bin_packing::{CandidateMachines, Score, score};
use super::machines::{machine_allowed, may_use_spot};
use super::zones::{TasksByZone, max_tasks_per_zone};
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobSpec, Resources};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND};
use foldhash::{HashMap, HashMapExt};

/// Waiting time after which free machines are reserved for a gang, so that later gangs in the queue do not
/// get them.
pub(super) const GANG_RESERVATION_DELAY: Micros = 40 * SECOND;

/// Added if a task fits only once backfill tasks that are already stopping have left.
const WAIT_FOR_BACKFILL_PENALTY: i64 = 16;
/// Added on top of that if some backfill tasks have not been stopped yet.
const STOP_BACKFILL_PENALTY: i64 = 16;

/// A machine on which tasks of a gang may be placed.
struct GangMachine {
    score: Score,
    /// Index in the list of candidates.
    index: usize,
    /// Resources that it offers once backfill tasks have left.
    resources: Resources,
}

/// Result of an attempt to place a gang.
pub(super) enum GangPlacement {
    /// All tasks of the gang, with their machines.
    Placed(Vec<Assignment>),
    /// Machines are allocated, but backfill tasks must leave them first; these changes stop them.
    WaitsForBackfill(Vec<JobChange>),
    /// Not enough machines.
    NoCapacity,
}

/// Places a gang. A forecast places it even if backfill tasks have not left yet.
pub(super) fn place_gang(
    view: &ClusterState,
    job: &Job,
    candidates: &mut CandidateMachines<'_>,
    gpu_demand: &GpuDemand,
    forecast: bool,
) -> GangPlacement {
    let spec: &JobSpec = &job.spec;
    let machines = rank_machines(view, job, candidates, gpu_demand);
    let Some(chosen) = choose_machines(spec, candidates, &machines) else {
        return GangPlacement::NoCapacity;
    };
    let mut free_now = true;
    for index in &chosen {
        free_now &= candidates.list[*index].free.fits(&spec.resources);
        candidates.allocate(*index, &spec.resources);
    }
    if free_now || forecast {
        let assignments = chosen.iter().enumerate().map(|(task, index)| {
            let candidate = &candidates.list[*index];
            (task as u32, candidate.id.clone(), candidate.session)
        });
        return GangPlacement::Placed(assignments.collect());
    }
    let mut stops = Vec::new();
    for index in chosen {
        if let Some(backfill) = &mut candidates.list[index].backfill {
            stops.append(&mut backfill.stops);
        }
    }
    GangPlacement::WaitsForBackfill(stops)
}

/// Allocates resources for one task on each machine on which a task of a gang fits now, so that no later
/// gang in the queue gets these machines. Does nothing for gangs without GPUs.
pub(super) fn reserve_free_machines(spec: &JobSpec, candidates: &mut CandidateMachines<'_>) {
    for index in 0..candidates.list.len() {
        let candidate = &candidates.list[index];
        if spec.resources.gpus > 0
            && machine_allowed(spec, candidate.machine)
            && candidate.free.fits(&spec.resources)
        {
            candidates.allocate(index, &spec.resources);
        }
    }
}

/// Returns the machines on which a task of a gang fits now or once backfill tasks have left, best first.
fn rank_machines(
    view: &ClusterState,
    job: &Job,
    candidates: &mut CandidateMachines<'_>,
    gpu_demand: &GpuDemand,
) -> Vec<GangMachine> {
    let spec: &JobSpec = &job.spec;
    let spot_allowed = may_use_spot(job);
    let mut machines: Vec<GangMachine> = Vec::new();
    for (index, candidate) in candidates.list.iter_mut().enumerate() {
        if !machine_allowed(spec, candidate.machine) || (candidate.machine.spot && !spot_allowed) {
            continue;
        }
        let mut resources = gpu_demand.offered_resources(spec, candidate);
        let mut penalty = 0;
        if !resources.fits(&spec.resources) {
            if spec.resources.gpus == 0
                || candidate.free.gpus < spec.resources.gpus
                || !candidate.has_cpu_only_types
            {
                continue;
            }
            let id = candidate.id;
            let backfill = candidate
                .backfill
                .get_or_insert_with(|| BackfillTasks::on(view, id));
            resources.add(&backfill.resources);
            if !resources.fits(&spec.resources) {
                continue;
            }
            penalty = WAIT_FOR_BACKFILL_PENALTY;
            if !backfill.stops.is_empty() {
                penalty += STOP_BACKFILL_PENALTY;
            }
        }
        let mut score = score(spec, candidate, candidate.has_image(spec));
        score.penalty += penalty;
        machines.push(GangMachine {
            score,
            index,
            resources,
        });
    }
    machines.sort_unstable_by_key(|machine| (machine.score, machine.index));
    machines
}

/// Chooses a machine for each task and returns their indexes in the list of candidates; `None` if there
/// are not enough machines. For a gang that needs a single zone the zones are tried in order of name.
fn choose_machines(
    spec: &JobSpec,
    candidates: &CandidateMachines<'_>,
    machines: &[GangMachine],
) -> Option<Vec<usize>> {
    if !spec.single_zone {
        return choose_machines_in_zone(spec, candidates, machines, None);
    }
    let zone_of = |machine: &GangMachine| candidates.list[machine.index].machine.zone.as_str();
    let mut zones: Vec<&str> = machines.iter().map(zone_of).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
        .into_iter()
        .find_map(|zone| choose_machines_in_zone(spec, candidates, machines, Some(zone)))
}

/// Chooses machines within one zone, or in all zones if `only_zone` is `None`.
fn choose_machines_in_zone(
    spec: &JobSpec,
    candidates: &CandidateMachines<'_>,
    machines: &[GangMachine],
    only_zone: Option<&str>,
) -> Option<Vec<usize>> {
    let needed = spec.task_count as usize;
    let mut chosen: Vec<usize> = Vec::new();
    let mut tasks_by_zone: TasksByZone<'_> = HashMap::new();
    for machine in machines {
        let zone = candidates.list[machine.index].machine.zone.as_str();
        if only_zone.is_some_and(|only| only != zone) {
            continue;
        }
        for _ in 0..machine.resources.count_fitting(&spec.resources) {
            if chosen.len() == needed {
                break;
            }
            let in_zone = tasks_by_zone.entry(zone).or_default();
            if spec.zone_spread && *in_zone >= max_tasks_per_zone(spec) {
                break;
            }
            *in_zone += 1;
            chosen.push(machine.index);
        }
    }
    (chosen.len() >= needed).then_some(chosen)
}
