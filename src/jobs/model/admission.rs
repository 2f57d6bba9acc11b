//! Admission: validates a submission against the settings and the machine types, and rejects jobs that are
//! malformed or can never run.

use super::{Dependencies, JobSpec, MAX_TASKS, Resources};
use crate::settings::{Settings, Team, to_thousandths};
use crate::time::{Micros, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::user::{JobKind, Submission, is_valid_job_id};
use std::collections::BTreeMap;

/// Difference below which two amounts are equal: decimal fractions are inexact in floating point.
const AMOUNT_TOLERANCE: f64 = 1e-6;
/// Largest number of CPUs or GPUs of a task: far more than any machine has, and small enough that sums in
/// thousandths do not overflow.
const MAX_CPUS_OR_GPUS: f64 = 1e6;
/// Largest memory or image size in gigabytes, for the same reasons.
const MAX_SIZE_GB: f64 = 1e7;
/// Longest duration in seconds, about 30 years.
const MAX_DURATION_S: f64 = 1e9;
/// Longest class, team or image name in bytes.
const MAX_NAME_BYTES: usize = 1024;

/// Reason why a submission is rejected permanently.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    /// A field has an invalid value; answered with status 400. Contains the name of the field.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The job is valid but can never run on this cluster; answered with status 422. Contains the reason.
    #[error("can never run: {0}")]
    Infeasible(&'static str),
}

/// Amounts and times of a submission, all of them checked to be in range.
struct CheckedAmounts {
    resources: Resources,
    image_gb: f64,
    estimated_run_time_s: f64,
    checkpoint_interval_s: f64,
    checkpoint_save_time_s: f64,
    deadline_s: Option<f64>,
}

/// Validates a submission and returns the specification of the job, without its dependencies, which are
/// not checked here. `now` is the wall-clock time of the submission.
pub fn validate(
    submission: &Submission,
    settings: &Settings,
    types: &BTreeMap<String, MachineType>,
    now: Micros,
) -> Result<JobSpec, AdmissionError> {
    check_names(submission)?;
    let amounts = CheckedAmounts::from_submission(submission)?;
    let team = settings
        .team(&submission.team)
        .ok_or(AdmissionError::Infeasible("unknown team"))?;
    let machine_types = existing_machine_types(submission, types);
    check_fits_a_machine(
        submission,
        &amounts.resources,
        machine_types.as_deref(),
        types,
    )?;
    check_team_limit(submission, &amounts.resources, team)?;
    Ok(JobSpec {
        class: submission.class.clone(),
        team: submission.team.clone(),
        kind: submission.kind,
        priority: submission.priority,
        task_count: submission.task_count,
        resources: amounts.resources,
        image: submission.image.clone(),
        image_size: to_thousandths(amounts.image_gb),
        machine_types,
        zone: submission.zone.clone(),
        single_zone: submission.single_zone,
        zone_spread: submission.zone_spread,
        allow_spot: submission.allow_spot,
        estimated_run_time: from_secs(amounts.estimated_run_time_s),
        checkpoint_interval: from_secs(amounts.checkpoint_interval_s),
        checkpoint_save_time: from_secs(amounts.checkpoint_save_time_s),
        deadline: amounts.deadline_s.map(from_secs),
        submitted_at: now,
        cancelled: false,
        dependencies: Dependencies::default(),
    })
}

/// Checks the format of the id, the number of tasks and the lengths of the names.
fn check_names(submission: &Submission) -> Result<(), AdmissionError> {
    if !is_valid_job_id(&submission.id) {
        return Err(AdmissionError::Malformed("id"));
    }
    if submission.task_count == 0 || submission.task_count > MAX_TASKS {
        return Err(AdmissionError::Malformed("number of tasks"));
    }
    let names = [
        (&submission.class, "class"),
        (&submission.team, "team"),
        (&submission.image, "image"),
    ];
    for (name, field) in names {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(AdmissionError::Malformed(field));
        }
    }
    Ok(())
}

impl CheckedAmounts {
    fn from_submission(submission: &Submission) -> Result<CheckedAmounts, AdmissionError> {
        let resources = Resources {
            cpus: to_thousandths(check_range(submission.cpus, MAX_CPUS_OR_GPUS, "CPUs")?),
            gpus: to_thousandths(check_range(submission.gpus, MAX_CPUS_OR_GPUS, "GPUs")?),
            memory: to_thousandths(check_range(submission.memory_gb, MAX_SIZE_GB, "memory")?),
            heartbeat_bytes: 0,
        };
        let image_gb = check_range(submission.image_gb, MAX_SIZE_GB, "image size")?;
        let seconds = |amount: f64, field| check_range(amount, MAX_DURATION_S, field);
        Ok(CheckedAmounts {
            resources,
            image_gb,
            estimated_run_time_s: seconds(submission.estimated_run_time_s, "estimate")?,
            checkpoint_interval_s: seconds(
                submission.checkpoint_interval_s,
                "checkpoint interval",
            )?,
            checkpoint_save_time_s: seconds(submission.checkpoint_save_time_s, "time to save")?,
            deadline_s: submission
                .deadline_s
                .map(|deadline| seconds(deadline, "deadline"))
                .transpose()?,
        })
    }
}

/// Returns the amount if it is between 0 and `max`; otherwise an error with the name of the field.
fn check_range(amount: f64, max: f64, field: &'static str) -> Result<f64, AdmissionError> {
    if amount.is_finite() && (0.0..=max).contains(&amount) {
        Ok(amount)
    } else {
        Err(AdmissionError::Malformed(field))
    }
}

/// Returns the allowed machine types that exist, sorted and without duplicates, so that a long list does
/// not enlarge the job's record.
fn existing_machine_types(
    submission: &Submission,
    types: &BTreeMap<String, MachineType>,
) -> Option<Vec<String>> {
    let names = submission.machine_types.as_ref()?;
    let mut existing: Vec<String> = names
        .iter()
        .filter(|name| types.contains_key(*name))
        .cloned()
        .collect();
    existing.sort();
    existing.dedup();
    Some(existing)
}

/// Checks that a task fits on an empty machine of an allowed type in an allowed zone.
fn check_fits_a_machine(
    submission: &Submission,
    resources: &Resources,
    allowed: Option<&[String]>,
    types: &BTreeMap<String, MachineType>,
) -> Result<(), AdmissionError> {
    let fits = types.values().any(|machine| {
        // The submitted amounts are compared as well, because the stored ones are rounded.
        let exact = [
            (submission.cpus, machine.cpus),
            (submission.gpus, machine.gpus),
            (submission.memory_gb, machine.memory_gb),
        ];
        allowed.is_none_or(|names| names.contains(&machine.name))
            && submission
                .zone
                .as_ref()
                .is_none_or(|zone| machine.zones.contains(zone))
            && Resources::of_machine(machine).fits(resources)
            && exact
                .iter()
                .all(|(need, have)| *need <= *have + AMOUNT_TOLERANCE)
    });
    match fits {
        true => Ok(()),
        false => Err(AdmissionError::Infeasible(
            "a task fits no allowed machine type",
        )),
    }
}

/// Checks that the tasks that have to run at the same time do not exceed the team's limit: a single task of
/// an array, all tasks of other jobs.
fn check_team_limit(
    submission: &Submission,
    resources: &Resources,
    team: &Team,
) -> Result<(), AdmissionError> {
    let concurrent_tasks = match submission.kind {
        JobKind::Array => 1,
        _ => i64::from(submission.task_count),
    };
    let exceeds = |exact: f64, rounded: i64, max: i64| {
        let thousandths = exact * concurrent_tasks as f64 * 1000.0;
        max > 0
            && (rounded.saturating_mul(concurrent_tasks) > max
                || thousandths > max as f64 + AMOUNT_TOLERANCE)
    };
    if exceeds(submission.cpus, resources.cpus, team.cpus_max)
        || exceeds(submission.gpus, resources.gpus, team.gpus_max)
    {
        return Err(AdmissionError::Infeasible("more than the team's limit"));
    }
    Ok(())
}
