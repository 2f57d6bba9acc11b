//! Writes that accept a submission. Idempotent: a repeated submission finds what an earlier one wrote.

use super::draft::put;
use super::limits::TransactionLimits;
use crate::jobs::model::{JobIdList, JobSpec, StoredBlock, StoredJobRecord, TaskBlock};
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::json_size;
use crate::wire::state::{Precondition, Transaction};

/// Bytes that a list of job ids takes beyond its ids and separators: two quotes, and one in reserve.
const LIST_OVERHEAD_BYTES: usize = 3;
/// Bytes of the separator between two job ids of a list.
const SEPARATOR_BYTES: usize = 1;

/// A part of a job's dependencies that is stored under a key of its own.
struct DependencyKey {
    key: String,
    jobs: JobIdList,
}

/// The next transactions that accept a job: its record, and before it keys of their own for
/// dependencies that do not fit into the record. These are written in several steps if need be, and
/// mean nothing without the record, whose transaction is conditional on them. `None` if the job fits
/// into no value or the record's transaction would need too many conditions.
pub fn accept_submission(
    view: &ClusterState,
    id: &str,
    mut spec: JobSpec,
    limits: TransactionLimits,
) -> Option<Vec<Transaction>> {
    let dependency_keys = move_long_dependencies(id, &mut spec, limits)?;
    let missing = missing_keys(view, id, &dependency_keys);
    if !missing.is_empty() {
        return Some(write_dependency_keys(view, &missing, limits));
    }
    let absent = |key: String| Precondition { key, version: 0 };
    let mut preconditions = vec![absent(keys::job(id)), absent(keys::finished_job(id))];
    preconditions.extend(
        dependency_keys
            .iter()
            .map(|part| view.precondition(part.key.as_str())),
    );
    (preconditions.len() <= limits.max_preconditions()).then(|| {
        vec![Transaction {
            preconditions,
            mutations: vec![put(keys::job(id), &accepted_record(spec, limits))],
        }]
    })
}

/// A job's record as it is written when the job is accepted: no task was placed yet.
fn accepted_record(spec: JobSpec, limits: TransactionLimits) -> StoredJobRecord {
    let unwritten = TaskBlock::default();
    StoredJobRecord(
        spec,
        if limits.packed {
            StoredBlock::Packed(unwritten)
        } else {
            StoredBlock::Plain(unwritten)
        },
    )
}

/// Moves the dependencies out of a specification that does not fit into a value with them. `None` if
/// it does not fit without them either.
fn move_long_dependencies(
    id: &str,
    spec: &mut JobSpec,
    limits: TransactionLimits,
) -> Option<Vec<DependencyKey>> {
    let fits = |spec: &JobSpec| {
        json_size(&accepted_record(spec.clone(), limits)) <= limits.max_value_bytes
    };
    if fits(spec) {
        return Some(Vec::new());
    }
    let jobs = std::mem::take(&mut spec.dependencies).jobs;
    // The longest number, so that the real one has room.
    spec.dependencies.keys = u32::MAX;
    if !fits(spec) {
        return None;
    }
    let parts = split_dependencies(id, jobs, limits);
    spec.dependencies.keys = parts.len() as u32;
    Some(parts)
}

/// Splits a list of job ids into parts that fit into a value each.
fn split_dependencies(id: &str, jobs: JobIdList, limits: TransactionLimits) -> Vec<DependencyKey> {
    let mut parts: Vec<DependencyKey> = Vec::new();
    // More than any value holds: the first id opens the first part.
    let mut bytes = usize::MAX;
    for job in jobs.0 {
        if bytes.saturating_add(job.len() + LIST_OVERHEAD_BYTES) > limits.max_value_bytes {
            parts.push(DependencyKey {
                key: keys::dependency_list(id, parts.len() as u32),
                jobs: JobIdList::default(),
            });
            bytes = 0;
        }
        bytes += job.len() + SEPARATOR_BYTES;
        if let Some(last) = parts.last_mut() {
            last.jobs.0.push(job);
        }
    }
    parts
}

/// Parts that the state service does not hold. An earlier try may have written others under the same
/// keys, as some of the jobs were not done then.
fn missing_keys<'a>(
    view: &ClusterState,
    id: &str,
    parts: &'a [DependencyKey],
) -> Vec<&'a DependencyKey> {
    (0u32..)
        .zip(parts)
        .filter(|(index, part)| view.dependency_list(id, *index) != Some(&part.jobs.0))
        .map(|(_, part)| part)
        .collect()
}

fn write_dependency_keys(
    view: &ClusterState,
    parts: &[&DependencyKey],
    limits: TransactionLimits,
) -> Vec<Transaction> {
    parts
        .chunks(limits.max_mutations)
        .map(|chunk| Transaction {
            preconditions: chunk
                .iter()
                .map(|part| view.precondition(part.key.as_str()))
                .collect(),
            mutations: chunk
                .iter()
                .map(|part| put(part.key.clone(), &part.jobs))
                .collect(),
        })
        .collect()
}
