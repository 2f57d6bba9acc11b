//! Memory of the task states of large arrays.

use crate::common::spec;
use crate::heap::{CONTROLLER_MEMORY_MB, HeapGrowth};
use ciborium::Value;
use coppergw::jobs::model::{JobRecord, MAX_TASKS, TASKS_PER_BLOCK, TaskBlock, block_count};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;

/// Number of arrays of the largest size: a class submits 5, or four times as many in a burst.
const LARGEST_ARRAYS: u32 = 20;

/// Kind of a task that is done, in the plain stored form of a block.
const KIND_DONE: u8 = 2;

/// Share of a controller's memory that the arrays may use; the rest is for everything else.
const MAX_MEMORY_MB: usize = CONTROLLER_MEMORY_MB / 2;

/// Returns the value of a block whose tasks are done, in the form that every version reads.
pub(crate) fn plain_done_block() -> Value {
    to_value(&vec![(KIND_DONE, 0, "", 0, 0); TASKS_PER_BLOCK as usize])
}

fn name(number: u32) -> String {
    format!("req-{number:06}")
}

/// Guards against memory for each task of an accepted job: 64 bytes for each task that had never been placed put 17
/// arrays of the largest size over the memory of every controller, at each start again.
#[test]
fn unplaced_arrays_of_the_largest_size_fit_into_memory() {
    let growth = HeapGrowth::start();
    let mut view = ClusterState::default();
    let record = to_value(&JobRecord(
        spec(JobKind::Array, MAX_TASKS),
        TaskBlock::default(),
    ));
    for number in 0..LARGEST_ARRAYS {
        let version = u64::from(number) + 1;
        view.put(&keys::job(&name(number)), &record, version);
    }
    let waiting: u32 = view.jobs.values().map(|job| job.waiting).sum();
    assert_eq!(waiting, LARGEST_ARRAYS * MAX_TASKS);
    let megabytes = growth.megabytes();
    assert!(megabytes < MAX_MEMORY_MB, "{megabytes} MB");
}

/// Guards against the same for tasks that are done, and for blocks that a start reads before the job's record.
#[test]
fn arrays_of_the_largest_size_that_are_nearly_done_fit_into_memory() {
    let growth = HeapGrowth::start();
    let mut view = ClusterState::default();
    let done = plain_done_block();
    let record = to_value(&JobRecord(
        spec(JobKind::Array, MAX_TASKS),
        TaskBlock::default(),
    ));
    let mut version = 0;
    for number in 0..LARGEST_ARRAYS {
        for block in 1..block_count(MAX_TASKS) - 1 {
            version += 1;
            view.put(&keys::block(&name(number), block), &done, version);
        }
    }
    let megabytes = growth.megabytes();
    assert!(megabytes < MAX_MEMORY_MB, "{megabytes} MB without records");
    for number in 0..LARGEST_ARRAYS {
        version += 1;
        view.put(&keys::job(&name(number)), &record, version);
    }
    let waiting: u32 = view.jobs.values().map(|job| job.waiting).sum();
    let unwritten = TASKS_PER_BLOCK + MAX_TASKS % TASKS_PER_BLOCK;
    assert_eq!(waiting, LARGEST_ARRAYS * unwritten);
    let megabytes = growth.megabytes();
    assert!(megabytes < MAX_MEMORY_MB, "{megabytes} MB");
}
