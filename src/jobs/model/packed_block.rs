//! Packed stored form of a task block: equal states share an entry, so that a block of a large job fits
//! into one value. It is written only if every controller can read it.

use super::task_block::{decode_grace, encode_grace};
use super::{MAX_TASKS, Placement, TaskBlock, TaskState};
use crate::ids::MachineId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;

/// Run-length encoded set of slot numbers: the lengths of alternating runs of excluded and included slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct Runs(Vec<u32>);

impl Runs {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Calls `visit` with each included slot number below `len`, in ascending order.
    fn for_each(&self, len: u32, mut visit: impl FnMut(usize)) {
        let mut slot = 0u32;
        for pair in self.0.chunks(2) {
            slot = slot.saturating_add(pair[0]);
            let taken = pair.get(1).copied().unwrap_or(0);
            let end = slot.saturating_add(taken).min(len);
            while slot < end {
                visit(slot as usize);
                slot += 1;
            }
        }
    }
}

/// Builds runs from slot numbers that are added in ascending order.
#[derive(Default)]
struct RunsBuilder {
    runs: Runs,
    /// The slot number after the last included one.
    end: u32,
}

impl RunsBuilder {
    fn push(&mut self, slot: u32) {
        match self.runs.0.last_mut() {
            Some(taken) if self.end == slot => *taken += 1,
            _ => self.runs.0.extend([slot - self.end, 1]),
        }
        self.end = slot + 1;
    }
}

/// Placements that differ only in their machines. Stored as a sequence of the fields.
#[derive(Clone, Debug, PartialEq)]
struct PackedPlacements {
    /// Common prefix of the names of all machines.
    machine_prefix: String,
    session: u64,
    attempt: u32,
    /// Grace period in its stored form.
    grace: u64,
    slots: Runs,
    /// Each machine's name without the prefix, in the order of the slots. Separated by spaces, which do not
    /// occur in names.
    machine_suffixes: String,
    /// Number of consecutive slots on each of these machines; empty if it is one for all of them.
    slots_per_machine: Vec<u32>,
}

impl Serialize for PackedPlacements {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = (
            &self.machine_prefix,
            self.session,
            self.attempt,
            self.grace,
            &self.slots,
            &self.machine_suffixes,
            &self.slots_per_machine,
        );
        fields.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PackedPlacements {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<PackedPlacements, D::Error> {
        let fields = Deserialize::deserialize(deserializer)?;
        let (machine_prefix, session, attempt, grace, slots, machine_suffixes, slots_per_machine) =
            fields;
        Ok(PackedPlacements {
            machine_prefix,
            session,
            attempt,
            grace,
            slots,
            machine_suffixes,
            slots_per_machine,
        })
    }
}

impl PackedPlacements {
    /// Writes the placements into the slots of a block with `len` slots.
    fn unpack_into(&self, states: &mut [TaskState], len: u32) {
        let names = self.machine_suffixes.split(' ').enumerate();
        let mut machines = names.flat_map(|(index, suffix)| {
            let machine: MachineId = format!("{}{suffix}", self.machine_prefix).into();
            let slots = self.slots_per_machine.get(index).copied().unwrap_or(1);
            std::iter::repeat_n(machine, slots.min(len) as usize)
        });
        self.slots.for_each(len, |slot| {
            if let Some(machine) = machines.next() {
                states[slot] = TaskState::Placed(Placement {
                    attempt: self.attempt,
                    machine,
                    session: self.session,
                    stop_grace_period: decode_grace(self.grace),
                });
            }
        });
    }
}

/// Fields that are equal in all placements of one entry. The entries are sorted by these fields, in the
/// order of their declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SharedPlacement {
    session: u64,
    attempt: u32,
    /// Grace period in its stored form.
    grace: u64,
}

/// Consecutive slots on one machine.
struct MachineRun<'a> {
    machine: &'a str,
    slots: u32,
}

/// Placements that differ only in their machines, while they are collected.
#[derive(Default)]
struct PlacementGroup<'a> {
    slots: RunsBuilder,
    machines: Vec<MachineRun<'a>>,
}

impl<'a> PlacementGroup<'a> {
    fn push(&mut self, slot: u32, machine: &'a str) {
        self.slots.push(slot);
        match self.machines.last_mut() {
            Some(last) if last.machine == machine => last.slots += 1,
            _ => self.machines.push(MachineRun { machine, slots: 1 }),
        }
    }

    /// Returns the common prefix of the names of all machines.
    fn common_prefix(&self) -> &'a str {
        let mut names = self.machines.iter().map(|run| run.machine);
        let first = names.next().unwrap_or_default();
        let mut len = first.len();
        for name in names {
            len = first
                .bytes()
                .zip(name.bytes())
                .take(len)
                .take_while(|(a, b)| a == b)
                .count();
        }
        while !first.is_char_boundary(len) {
            len -= 1;
        }
        &first[..len]
    }

    fn pack(self, shared: SharedPlacement) -> PackedPlacements {
        let prefix = self.common_prefix();
        let suffixes: Vec<&str> = self
            .machines
            .iter()
            .map(|run| &run.machine[prefix.len()..])
            .collect();
        let mut slots_per_machine: Vec<u32> = self.machines.iter().map(|run| run.slots).collect();
        if slots_per_machine.iter().all(|slots| *slots == 1) {
            slots_per_machine.clear();
        }
        PackedPlacements {
            machine_prefix: prefix.to_string(),
            session: shared.session,
            attempt: shared.attempt,
            grace: shared.grace,
            machine_suffixes: suffixes.join(" "),
            slots: self.slots.runs,
            slots_per_machine,
        }
    }
}

/// A packed block. A slot that is in none of the lists was never placed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PackedBlock {
    /// Number of slots.
    #[serde(rename = "n", default)]
    len: u32,
    #[serde(rename = "d", default, skip_serializing_if = "Runs::is_empty")]
    done: Runs,
    /// Numbers of attempts, each with the slots that are waiting after that number.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    waiting: Vec<(u32, Runs)>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    placed: Vec<PackedPlacements>,
    /// Number of slots in each part of a split block, whose slots are stored under separate keys and whose
    /// other fields are empty; 0 if the block is not split.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub(super) tasks_per_part: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl PackedBlock {
    /// Returns the marker of a block that is split into parts with `tasks_per_part` slots.
    pub(super) fn split(tasks_per_part: u32) -> PackedBlock {
        PackedBlock {
            tasks_per_part,
            ..PackedBlock::default()
        }
    }
}

impl From<&TaskBlock> for PackedBlock {
    fn from(block: &TaskBlock) -> PackedBlock {
        let mut done = RunsBuilder::default();
        let mut waiting: BTreeMap<u32, RunsBuilder> = BTreeMap::new();
        let mut placed: BTreeMap<SharedPlacement, PlacementGroup<'_>> = BTreeMap::new();
        for (slot, state) in (0u32..).zip(block.iter()) {
            match state {
                TaskState::Waiting(0) => {}
                TaskState::Waiting(attempts) => waiting.entry(*attempts).or_default().push(slot),
                TaskState::Done => done.push(slot),
                TaskState::Placed(placement) => {
                    let shared = SharedPlacement {
                        session: placement.session,
                        attempt: placement.attempt,
                        grace: encode_grace(placement.stop_grace_period),
                    };
                    let group = placed.entry(shared).or_default();
                    group.push(slot, &placement.machine);
                }
            }
        }
        PackedBlock {
            len: block.len(),
            done: done.runs,
            waiting: waiting
                .into_iter()
                .map(|(attempts, slots)| (attempts, slots.runs))
                .collect(),
            placed: placed
                .into_iter()
                .map(|(shared, group)| group.pack(shared))
                .collect(),
            tasks_per_part: 0,
        }
    }
}

impl From<PackedBlock> for TaskBlock {
    fn from(packed: PackedBlock) -> TaskBlock {
        // Limits the allocation if the value is corrupt.
        let len = packed.len.min(MAX_TASKS);
        let mut states = vec![TaskState::Waiting(0); len as usize];
        for (attempts, slots) in &packed.waiting {
            slots.for_each(len, |slot| states[slot] = TaskState::Waiting(*attempts));
        }
        for placements in &packed.placed {
            placements.unpack_into(&mut states, len);
        }
        packed
            .done
            .for_each(len, |slot| states[slot] = TaskState::Done);
        states.into()
    }
}
