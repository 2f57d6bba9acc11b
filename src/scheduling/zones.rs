//! Zone constraints of a job: all tasks in a single zone, or at most half of them in each zone. Pure
//! functions.

use crate::jobs::model::JobSpec;
use crate::store::cluster_state::{ClusterState, Job};
use foldhash::{HashMap, HashMapExt};

/// Number of a job's tasks, by zone.
pub(super) type TasksByZone<'a> = HashMap<&'a str, u32>;

/// Returns whether a job has a zone constraint.
pub(super) fn has_zone_constraint(spec: &JobSpec) -> bool {
    spec.single_zone || spec.zone_spread
}

/// Returns the maximum number of tasks that a job with `zone_spread` may have in one zone.
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

/// Returns whether one more task of a job may be placed in a zone.
pub(super) fn zone_allowed(spec: &JobSpec, counts: &TasksByZone<'_>, zone: &str) -> bool {
    if spec.single_zone && counts.keys().any(|other| *other != zone) {
        return false;
    }
    !(spec.zone_spread && counts.get(zone).copied().unwrap_or(0) >= max_tasks_per_zone(spec))
}

/// Retains the zones in which one more task of a job may be placed, given the zones of its other tasks.
pub fn retain_allowed_zones(view: &ClusterState, job: &Job, zones: &mut Vec<&str>) {
    let spec = &job.spec;
    let counts = tasks_by_zone(view, job);
    zones.retain(|zone| {
        spec.zone.as_ref().is_none_or(|only| only == zone) && zone_allowed(spec, &counts, zone)
    });
}
