//! Placements of a job's tasks, and the preconditions on the machines that tasks are placed on.

use super::JobTransactionBuilder;
use crate::ids::MachineId;
use crate::jobs::model::{Placement, TaskState, block_count};
use crate::store::keys;
use crate::wire::user::JobKind;

/// Number of mutations that a gang needs in addition to one for each of its blocks, if blocks are written
/// in plain form.
const GANG_RESERVED_MUTATIONS: usize = 3;
/// Number of preconditions reserved while tasks are placed in plain blocks, for the keys that are added at
/// the end: the job's record, its changed blocks, the team's key.
const RESERVED_PRECONDITIONS: usize = 4;
/// Number of preconditions of one placement: the machine's shard and the machine.
const PRECONDITIONS_PER_PLACEMENT: usize = 2;

impl JobTransactionBuilder<'_> {
    /// Places waiting tasks, as many as fit into the transaction.
    pub(super) fn place(&mut self, tasks: &[(u32, MachineId, u64)]) {
        if self.job.cancelled() || !self.job.ready {
            return;
        }
        let all_waiting = tasks
            .iter()
            .all(|(index, _, _)| matches!(self.task(*index), Some(TaskState::Waiting(_))));
        if !all_waiting || !self.may_place_in_one_transaction(tasks.len()) {
            return;
        }
        let is_gang = self.job.spec.kind == JobKind::Gang;
        // The tasks of a gang discover their peers by the attempt number, so all get the same one.
        let last_gang_attempt = match is_gang {
            true => Some(self.job.last_attempt()),
            false => None,
        };
        for (index, machine, session) in tasks {
            if !is_gang && !self.has_room_for_placement() {
                break;
            }
            let last_attempt = match is_gang {
                true => last_gang_attempt.unwrap_or(0),
                false => self.task(*index).map_or(0, |state| state.last_attempt()),
            };
            let placement = Placement {
                attempt: last_attempt + 1,
                machine: machine.clone(),
                session: *session,
                stop_grace_period: None,
            };
            if !self.set_task(*index, TaskState::Placed(placement)) {
                continue;
            }
            self.places_tasks = true;
            self.add_shard_precondition(machine);
            let machine_key = keys::machine(machine);
            let version = self.view.version(&machine_key);
            self.machine_preconditions.insert(machine_key, version);
        }
    }

    /// Returns whether one transaction may place this number of tasks: any number of an array or service,
    /// but only all tasks of a gang.
    fn may_place_in_one_transaction(&self, task_count: usize) -> bool {
        let spec = &self.job.spec;
        if spec.kind != JobKind::Gang {
            return true;
        }
        let block_count = block_count(spec.task_count) as usize;
        task_count == spec.task_count as usize
            && (self.limits.write_packed_blocks
                || block_count + GANG_RESERVED_MUTATIONS <= self.limits.max_mutations)
    }

    /// Returns whether the preconditions of one more placement fit; the remaining tasks of a large array
    /// follow in the next transaction. If blocks are written in packed form, [`Self::finish`] checks the
    /// limits instead.
    fn has_room_for_placement(&self) -> bool {
        let preconditions = self.draft.preconditions.len() + self.machine_preconditions.len();
        self.limits.write_packed_blocks
            || preconditions + RESERVED_PRECONDITIONS + PRECONDITIONS_PER_PLACEMENT
                <= self.limits.max_preconditions_with_reserve()
    }

    /// Makes the transaction conditional on the keys of the machines that tasks are placed on, so that
    /// none of these machines is being returned. This avoids starts that would fail, but safety does not
    /// depend on it: a machine whose key was deleted runs no tasks. If the keys are too many for a
    /// transaction, it is conditional only on the terms of their shards.
    pub(super) fn add_machine_preconditions(&mut self) {
        let preconditions = &mut self.draft.preconditions;
        let count = preconditions.len() + self.machine_preconditions.len();
        if !self.limits.write_packed_blocks || count <= self.limits.max_preconditions() {
            preconditions.append(&mut self.machine_preconditions);
        }
    }
}
