//! Stored values of a job: its record, its blocks in every form that any version has written, and its final
//! state.

use super::packed_block::PackedBlock;
use super::task_block::PlainState;
use super::{JobSpec, TASKS_PER_BLOCK, TaskBlock, TaskState};
use crate::time::Micros;
use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// A block as it is stored. Every form remains readable; the form that is written depends on which forms
/// the other controllers can read, and on the limits of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredBlock {
    /// One entry for each state: the only form that the first versions read.
    Plain(TaskBlock),
    /// Equal states share an entry.
    Packed(TaskBlock),
    /// The slots are stored under separate keys; contains the number of slots for each key.
    Split(u32),
}

impl Serialize for StoredBlock {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            StoredBlock::Plain(block) => block.serialize(serializer),
            StoredBlock::Packed(block) => PackedBlock::from(block).serialize(serializer),
            StoredBlock::Split(tasks_per_part) => {
                PackedBlock::split(*tasks_per_part).serialize(serializer)
            }
        }
    }
}

impl<'de> Deserialize<'de> for StoredBlock {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<StoredBlock, D::Error> {
        deserializer.deserialize_any(StoredBlockVisitor)
    }
}

/// Distinguishes the stored forms: a sequence is a plain block, a map is a packed or split one.
struct StoredBlockVisitor;

impl<'de> Visitor<'de> for StoredBlockVisitor {
    type Value = StoredBlock;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a block")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut states: A) -> Result<StoredBlock, A::Error> {
        let elements = std::iter::from_fn(|| states.next_element::<PlainState>().transpose());
        let block = elements
            .map(|element| element.map(TaskState::from))
            .collect::<Result<TaskBlock, _>>()?;
        Ok(StoredBlock::Plain(block))
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<StoredBlock, A::Error> {
        let packed = PackedBlock::deserialize(MapAccessDeserializer::new(fields))?;
        Ok(match packed.tasks_per_part {
            0 => StoredBlock::Packed(packed.into()),
            tasks_per_part => StoredBlock::Split(tasks_per_part.min(TASKS_PER_BLOCK)),
        })
    }
}

/// The value of a job's key: its specification and its first block, so that a small job needs only one
/// key. An empty block represents one that has not been written yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord(pub JobSpec, pub TaskBlock);

/// A [`JobRecord`] with the block in any stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredJobRecord(pub JobSpec, pub StoredBlock);

/// Final state of a job. Never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// Whether the job was cancelled; otherwise it completed.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Number of tasks that completed.
    #[serde(rename = "d")]
    pub done: u32,
    /// Wall-clock time at which the job ended; the waiting time of dependent jobs is measured from it. 0 if
    /// the version that wrote the value did not store it.
    #[serde(rename = "at", default, skip_serializing_if = "is_unknown")]
    pub finished_at: Micros,
}

fn is_unknown(finished_at: &Micros) -> bool {
    *finished_at == 0
}
