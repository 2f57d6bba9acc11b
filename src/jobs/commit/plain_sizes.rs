//! Sizes of plain blocks while the changes of a transaction are applied to them.
//!
//! A block is written plain while a controller beside this one may not read other forms, or may overwrite them. Its
//! tasks are placed only as far as their entries fit into the value; the others wait until entries become shorter
//! or the layout changes.

use crate::jobs::model::{TaskBlock, TaskState};
use std::collections::BTreeMap;

/// Sizes of the values of the blocks that a transaction changes, in bytes of JSON.
#[derive(Default)]
pub(super) struct PlainSizes {
    by_block: BTreeMap<u32, usize>,
}

/// A change of a task's state.
pub(super) struct StateChange<'a> {
    /// Number of the task's block.
    pub(super) block: u32,
    /// State before the change.
    pub(super) before: &'a TaskState,
    /// State after the change.
    pub(super) after: &'a TaskState,
}

impl PlainSizes {
    /// Applies a change to the size of its block, whose value has `initial_bytes` without any change. Returns
    /// whether the value may be written: it has at most `max_value_bytes`, or the change does not enlarge it.
    /// Otherwise the size remains as it was.
    pub(super) fn apply(
        &mut self,
        change: &StateChange<'_>,
        initial_bytes: impl FnOnce() -> usize,
        max_value_bytes: usize,
    ) -> bool {
        let size = self
            .by_block
            .entry(change.block)
            .or_insert_with(initial_bytes);
        let (removed, added) = (change.before.plain_bytes(), change.after.plain_bytes());
        let changed_size = (*size + added).saturating_sub(removed);
        let fits = changed_size <= max_value_bytes || added <= removed;
        if fits {
            *size = changed_size;
        }
        fits
    }
}

/// Returns whether no task of a block was ever placed. An empty block is read as such a block.
pub(super) fn is_unplaced(block: &TaskBlock) -> bool {
    block.all(|state| *state == TaskState::default())
}
