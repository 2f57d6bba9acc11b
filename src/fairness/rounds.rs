//! The leader's fairness round, which writes the priority boosts and the service levels.

pub use super::value_limit::truncate_to_size;

use super::service_levels::service_level_rows;
use super::{JobActivity, PriorityBoosts, merge_counts, update_boosts};
use crate::controller::Controller;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::wall_clock_now;
use crate::wire::state::{Mutation, Transaction};
use crate::wire::to_value;
use crate::wire::user::JobKind;

impl Controller {
    /// Runs one fairness round. Only the leader calls it.
    pub async fn fairness_round(&self) {
        self.write_priority_boosts().await;
        self.log_service_levels();
        self.write_service_levels().await;
    }

    /// Writes the boosts of this round if they changed.
    async fn write_priority_boosts(&self) {
        let boosts = {
            let view = self.watch_cache.view();
            let jobs = job_activities(&view);
            let threshold = self.policy.fairness_threshold;
            let mut boosts: PriorityBoosts = update_boosts(&jobs, threshold, &view.priority_boosts);
            boosts.jobs = truncate_to_size(boosts.jobs, self.max_value_bytes(), &|_, boost| {
                (boost.level, boost.tasks)
            });
            if boosts == view.priority_boosts {
                return;
            }
            boosts
        };
        let transaction = Transaction {
            preconditions: Vec::new(),
            mutations: vec![Mutation::Put {
                key: keys::PRIORITY_BOOSTS.into(),
                value: to_value(&boosts),
                lease: None,
            }],
        };
        self.watch_cache.transaction(&transaction).await;
    }

    /// Logs the classes and teams that newly miss their objectives.
    fn log_service_levels(&self) {
        let view = self.watch_cache.view();
        let rows = service_level_rows(&view, &self.settings.objectives, wall_clock_now());
        tracing::debug!(?rows, "service levels computed");
        for (scope, started_share) in self
            .service_level_monitor
            .borrow_mut()
            .missed_objectives(&rows, self.clock.now())
        {
            let started_share = format!("{started_share:.2}");
            tracing::warn!(
                scope,
                started_share,
                "less than half of the jobs started in time: see inspect service-levels and inspect jobs"
            );
        }
    }

    /// Adds the jobs that have ended since the last write to the stored service levels, if there are any.
    async fn write_service_levels(&self) {
        let transaction = {
            let view = self.watch_cache.view();
            let levels = &view.service_levels;
            // Versions without support for the layout record do not support this key either.
            if view.layout.is_none()
                || !view
                    .recent_job_ends()
                    .any(|end| end.revision > levels.revision)
            {
                return;
            }
            let ends = view.recent_job_ends().cloned();
            let next = levels.with_job_ends(ends, view.revision, self.max_value_bytes());
            Transaction {
                preconditions: vec![view.precondition(keys::SERVICE_LEVELS)],
                mutations: vec![Mutation::Put {
                    key: keys::SERVICE_LEVELS.into(),
                    value: to_value(&next),
                    lease: None,
                }],
            }
        };
        self.watch_cache.transaction(&transaction).await;
    }
}

/// Returns the jobs that take part in a round. A job that waits for its dependencies is not queued yet and
/// is left out: Q counts tasks that could start (section 2, algorithm 1), and a boost could not start its
/// tasks.
fn job_activities(view: &ClusterState) -> Vec<JobActivity> {
    view.jobs
        .iter()
        .filter(|(_, job)| job.spec.kind != JobKind::Service && job.ready && !job.cancelled())
        .map(|(id, job)| {
            let counts = view.counts.values();
            let (median_duration_us, performance) =
                merge_counts(counts.filter_map(|counts| counts.jobs.get(&**id)));
            JobActivity {
                id: id.to_string(),
                waiting: job.waiting,
                running: job.placed,
                median_duration_us,
                performance,
            }
        })
        .collect()
}
