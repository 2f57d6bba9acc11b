//! The paper's algorithms 1 and 2: which waiting tasks are boosted in a round. Pure.

use super::equations::{JobActivity, max_median_ratios, min_pending_fraction, pending, unfairness};
use super::{PriorityBoost, PriorityBoosts};

/// Lowest level of a boost: 0 is no boost, and 1 is left free.
const LOWEST_LEVEL: u32 = 2;

/// One round. If the unfairness degree is above the threshold, each job whose pending fraction is above the
/// smallest by more than that gets a boost of Δ tasks (equation 6), on a level above all others in use.
/// Boosts of earlier rounds stand while their tasks wait.
pub fn round(jobs: &[JobActivity], threshold: f64, before: &PriorityBoosts) -> PriorityBoosts {
    let mut boosts = still_waiting(jobs, before);
    let pending_fractions = pending(jobs);
    if unfairness(&pending_fractions) <= threshold {
        return boosts;
    }
    let top_level = renumber_levels(&mut boosts);
    let min_fraction = min_pending_fraction(&pending_fractions);
    let ratios = max_median_ratios(jobs);
    for ((job, fraction), ratio) in jobs.iter().zip(&pending_fractions).zip(&ratios) {
        if fraction - min_fraction <= threshold || *ratio <= 0.0 {
            continue;
        }
        // Δ, equation 6: all waiting tasks but those that keep w at the threshold above the smallest.
        let may_wait = ((threshold + min_fraction) * job.weighted_tasks() / ratio).floor();
        let tasks = (f64::from(job.waiting) - may_wait).max(0.0) as u32;
        if tasks > 0 {
            let level = top_level;
            boosts
                .jobs
                .insert(job.id.clone(), PriorityBoost { tasks, level });
        }
    }
    boosts
}

/// Boosts of earlier rounds, for as many tasks as still wait.
fn still_waiting(jobs: &[JobActivity], before: &PriorityBoosts) -> PriorityBoosts {
    let mut boosts = PriorityBoosts::default();
    for job in jobs {
        if let Some(boost) = before.jobs.get(&job.id)
            && job.waiting > 0
        {
            let tasks = boost.tasks.min(job.waiting);
            let level = boost.level;
            boosts
                .jobs
                .insert(job.id.clone(), PriorityBoost { tasks, level });
        }
    }
    boosts
}

/// Numbers the levels in use without gaps, so that they do not grow for ever. Returns the next one above.
fn renumber_levels(boosts: &mut PriorityBoosts) -> u32 {
    let mut levels: Vec<u32> = boosts.jobs.values().map(|boost| boost.level).collect();
    levels.sort_unstable();
    levels.dedup();
    for boost in boosts.jobs.values_mut() {
        boost.level = levels.binary_search(&boost.level).unwrap_or(0) as u32 + LOWEST_LEVEL;
    }
    levels.len() as u32 + LOWEST_LEVEL
}
