//! Algorithms 1 and 2 of the paper: select the waiting tasks whose priority a round boosts. The functions
//! have no side effects.

use super::equations::{
    JobActivity, max_median_ratios, min_pending_fraction, pending_fractions, unfairness_degree,
};
use super::{PriorityBoost, PriorityBoosts};

/// Lowest level of a boost. Level 0 means no boost, and level 1 is not used.
const LOWEST_BOOST_LEVEL: u32 = 2;

/// Runs one round and returns its boosts. If the unfairness degree is above the threshold, each job whose
/// pending fraction exceeds the smallest one by more than the threshold gets a boost of Δ tasks (equation
/// 6), at a level above all others in use. Boosts of earlier rounds remain while their tasks wait.
pub fn update_boosts(
    jobs: &[JobActivity],
    threshold: f64,
    previous: &PriorityBoosts,
) -> PriorityBoosts {
    let mut boosts = boosts_of_waiting_tasks(jobs, previous);
    let fractions = pending_fractions(jobs);
    if unfairness_degree(&fractions) <= threshold {
        return boosts;
    }
    let top_level = renumber_levels(&mut boosts);
    let min_fraction = min_pending_fraction(&fractions);
    let ratios = max_median_ratios(jobs);
    for ((job, fraction), ratio) in jobs.iter().zip(&fractions).zip(&ratios) {
        if fraction - min_fraction <= threshold || *ratio <= 0.0 {
            continue;
        }
        // Δ, equation 6: all waiting tasks beyond the number at which w exceeds the smallest fraction by the
        // threshold.
        let tolerated_tasks = ((threshold + min_fraction) * job.weighted_tasks() / ratio).floor();
        let tasks = (f64::from(job.waiting) - tolerated_tasks).max(0.0) as u32;
        if tasks > 0 {
            let level = top_level;
            boosts
                .jobs
                .insert(job.id.clone(), PriorityBoost { tasks, level });
        }
    }
    boosts
}

/// Returns the boosts of earlier rounds, limited to the tasks that still wait.
fn boosts_of_waiting_tasks(jobs: &[JobActivity], previous: &PriorityBoosts) -> PriorityBoosts {
    let mut boosts = PriorityBoosts::default();
    for job in jobs {
        if let Some(boost) = previous.jobs.get(&job.id)
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

/// Renumbers the levels in use without gaps, so that they do not grow without bound, and returns the next
/// higher level.
fn renumber_levels(boosts: &mut PriorityBoosts) -> u32 {
    let mut levels: Vec<u32> = boosts.jobs.values().map(|boost| boost.level).collect();
    levels.sort_unstable();
    levels.dedup();
    for boost in boosts.jobs.values_mut() {
        boost.level = levels.binary_search(&boost.level).unwrap_or(0) as u32 + LOWEST_BOOST_LEVEL;
    }
    levels.len() as u32 + LOWEST_BOOST_LEVEL
}
