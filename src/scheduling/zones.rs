//! Zone constraints of a job: all tasks in one zone, or at most half of them in any one. Pure.

use crate::jobs::model::JobSpec;
use crate::store::cluster_state::{ClusterState, Job};
use foldhash::{HashMap, HashMapExt};

/// Number of a job's tasks in each zone.
pub(super) type TasksByZone<'a> = HashMap<&'a str, u32>;

/// Whether it matters to a job in which zones its tasks are.
pub(super) fn has_zone_constraint(spec: &JobSpec) -> bool {
    spec.single_zone || spec.zone_spread
}

/// The most tasks that a job with `zone_spread` may have in one zone.
pub(super) fn max_tasks_per_zone(spec: &JobSpec) -> u32 {
    spec.task_count.div_ceil(2)
}

/// Counts a job's placed tasks in each zone; empty for jobs without a zone constraint.
pub(super) fn tasks_by_zone<'a>(view: &'a ClusterState, job: &Job) -> TasksByZone<'a> {
    let mut counts = HashMap::new();
    if has_zone_constraint(&job.spec) {
        for (_, placement) in job.placements() {
            if let Some(machine) = view.machines.get(&placement.machine) {
                *counts.entry(machine.zone.as_str()).or_default() += 1;
            }
        }
    }
    counts
}

/// Whether one more task of a job may go to a zone.
pub(super) fn zone_allowed(spec: &JobSpec, counts: &TasksByZone<'_>, zone: &str) -> bool {
    if spec.single_zone && counts.keys().any(|other| *other != zone) {
        return false;
    }
    !(spec.zone_spread && counts.get(zone).copied().unwrap_or(0) >= max_tasks_per_zone(spec))
}

/// Keeps the zones to which one more task of a job may go, given where its other tasks are.
pub fn retain_open_zones(view: &ClusterState, job: &Job, zones: &mut Vec<&str>) {
    let spec = &job.spec;
    let counts = tasks_by_zone(view, job);
    zones.retain(|zone| {
        spec.zone.as_ref().is_none_or(|only| only == zone) && zone_allowed(spec, &counts, zone)
    });
}
