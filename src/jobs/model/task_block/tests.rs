//! Unit tests of the run-length encoding of task blocks.

use super::{Placement, TaskBlock, TaskState};
use proptest::prelude::*;

/// States of which adjacent ones are often equal, so that runs are split and merged.
fn state() -> impl Strategy<Value = TaskState> {
    prop_oneof![
        3 => (0u32..2).prop_map(TaskState::Waiting),
        2 => Just(TaskState::Done),
        1 => (0u64..2).prop_map(|session| {
            TaskState::Placed(Placement {
                attempt: 1,
                machine: "m-1".into(),
                session,
                stop_grace_period: None,
            })
        }),
    ]
}

fn states(max: usize) -> impl Strategy<Value = Vec<TaskState>> {
    proptest::collection::vec(state(), 0..max)
}

fn listed(block: &TaskBlock) -> Vec<TaskState> {
    block.iter().cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(51),
        ..ProptestConfig::default()
    })]

    /// Guards against a task that takes the state of its neighbour when a run is split or merged.
    #[test]
    fn block_equals_the_list_of_its_states(
        mut expected in states(40),
        changes in proptest::collection::vec((0usize..44, state()), 0..60),
    ) {
        let mut block = TaskBlock::from(expected.clone());
        for (position, state) in changes {
            block.set(position as u32, state.clone());
            if let Some(slot) = expected.get_mut(position) {
                *slot = state;
            }
            prop_assert_eq!(&block, &TaskBlock::from(expected.clone()));
        }
        prop_assert_eq!(listed(&block), expected.clone());
        prop_assert_eq!(block.len() as usize, expected.len());
        prop_assert_eq!(block.is_empty(), expected.is_empty());
        for position in 0..44 {
            prop_assert_eq!(block.get(position as u32), expected.get(position));
        }
        let done = |state: &TaskState| *state == TaskState::Done;
        prop_assert_eq!(block.done() as usize, expected.iter().filter(|state| done(state)).count());
        prop_assert_eq!(block.all(done), expected.iter().all(done));
    }

    /// Guards against parts of a split block that are cut or put together at the wrong task.
    #[test]
    fn slices_and_overwritten_parts_equal_those_of_the_list(
        mut expected in states(40),
        part in states(20),
        start in 0usize..44,
        len in 0usize..44,
    ) {
        let mut block = TaskBlock::from(expected.clone());
        let slice: Vec<TaskState> = expected.iter().skip(start).take(len).cloned().collect();
        prop_assert_eq!(block.slice(start as u32, len as u32), TaskBlock::from(slice));
        block.overwrite(start as u32, &TaskBlock::from(part.clone()));
        for (slot, state) in expected.iter_mut().skip(start).zip(part) {
            *slot = state;
        }
        prop_assert_eq!(block, TaskBlock::from(expected));
    }
}
