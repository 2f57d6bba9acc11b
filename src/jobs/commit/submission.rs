//! Transactions that accept a submission. Idempotent: a repeated submission uses the keys that an earlier
//! one wrote.

use super::draft::put;
use super::limits::TransactionLimits;
use crate::jobs::model::{JobIdList, JobSpec, StoredBlock, StoredJobRecord, TaskBlock};
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::json_size;
use crate::wire::state::{Precondition, Transaction};

/// Size of a list of job ids without its ids and separators, in bytes: two quotation marks and one in
/// reserve.
const LIST_OVERHEAD_BYTES: usize = 3;
/// Size of the separator between two job ids of a list, in bytes.
const SEPARATOR_BYTES: usize = 1;

/// A part of a job's dependencies that is stored under a separate key.
struct DependencyKey {
    key: String,
    jobs: JobIdList,
}

/// Returns the next transactions that accept a job. They write either its record or, before that, separate
/// keys with the dependencies that do not fit into the record, in several transactions if necessary. These
/// keys have no effect without the record, whose transaction is conditional on them. `None` if the job is
/// too large for a value, or if the record's transaction would need too many preconditions.
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

/// Returns a job's record as it is written when the job is accepted: no task has been placed yet.
fn accepted_record(spec: JobSpec, limits: TransactionLimits) -> StoredJobRecord {
    let unwritten_block = TaskBlock::default();
    StoredJobRecord(
        spec,
        if limits.write_packed_blocks {
            StoredBlock::Packed(unwritten_block)
        } else {
            StoredBlock::Plain(unwritten_block)
        },
    )
}

/// Moves the dependencies out of a specification that is too large for a value with them. `None` if it is
/// too large without them, too. The stored form of the block does not matter, so that a submission that is
/// repeated after the job has ended fits whenever the first one did; the packed form is longer by a few bytes
/// of the reserve that `max_value_bytes` leaves.
fn move_long_dependencies(
    id: &str,
    spec: &mut JobSpec,
    limits: TransactionLimits,
) -> Option<Vec<DependencyKey>> {
    let fits = |spec: &JobSpec| {
        let smallest_record = (spec, TaskBlock::default());
        json_size(&smallest_record) <= limits.max_value_bytes
    };
    if fits(spec) {
        return Some(Vec::new());
    }
    let jobs = std::mem::take(&mut spec.dependencies).jobs;
    // The number with the most digits, so that the actual number fits.
    spec.dependencies.keys = u32::MAX;
    if !fits(spec) {
        return None;
    }
    let parts = split_dependencies(id, jobs, limits);
    spec.dependencies.keys = parts.len() as u32;
    Some(parts)
}

/// Splits a list of job ids into parts, each of which fits into a value.
fn split_dependencies(id: &str, jobs: JobIdList, limits: TransactionLimits) -> Vec<DependencyKey> {
    let mut parts: Vec<DependencyKey> = Vec::new();
    // Larger than any value, so that the first id starts the first part.
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

/// Returns the parts that the state service does not store yet. An earlier attempt may have written other
/// contents under the same keys, because some of the jobs were not done at that time.
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
