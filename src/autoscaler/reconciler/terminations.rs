//! Terminations: machines are marked in the state service first, one by one in their records or many in a
//! termination batch; then they are terminated in the cloud; and only once it has answered 200 are they and
//! all that ran on them known to be gone.

use super::{CLOUD_TIMEOUT, LeaderState};
use crate::autoscaler::model::{MachineRecord, MachineState, TerminationBatch};
use crate::autoscaler::put_machine;
use crate::autoscaler::transactions::put_termination_batch;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{SECOND, wall};
use crate::wire::cloud::{MachineNames, TERMINATE_PATH};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::{encode, to_value};
use http_types::Method;
use std::rc::Rc;

/// Machines that the cloud terminates at most for one request.
const MACHINES_PER_CLOUD_REQUEST: usize = 100;
/// Share of the burst of writes that is left to users and placements when machines are marked.
const WRITES_RESERVED: f64 = 0.3;
/// Machines marked in each turn of the loop even when writes are short: each one saves money until the day
/// ends.
const MARKED_AT_LEAST: usize = 3;
/// The same where task blocks are packed and need fewer writes.
const MARKED_AT_LEAST_PACKED: usize = 5;

impl Controller {
    /// Writes that may go into bookkeeping now: users and placements come first.
    fn spare_writes(&self) -> usize {
        let (level, burst) = self.watch_cache.client().write_level();
        (level - burst * WRITES_RESERVED).max(0.0) as usize
    }

    /// Writes a new state into the records of machines, as far as writes can be spared.
    pub(super) async fn write_machine_states(&self, ids: &[MachineId], state: MachineState) {
        for chunk in ids.chunks(self.state_limits().max_mutations) {
            let chunk = &chunk[..self.states_to_write(chunk.len(), state)];
            // An empty machine must still be empty. A placement does not change its record, so read what
            // was written since the decision.
            let terminating = state == MachineState::Returning;
            if terminating && !self.watch_cache.linearizable_read().await {
                return;
            }
            let transaction = self.machine_states_transaction(chunk, state);
            if transaction.mutations.is_empty() {
                continue;
            }
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&transaction).await {
                let machines = transaction.mutations.len();
                tracing::info!(machines, ?state, "machine states written");
            }
        }
    }

    /// How many of so many states may be written now.
    fn states_to_write(&self, machines: usize, state: MachineState) -> usize {
        // Capacity that work waits for.
        if state == MachineState::Up {
            return machines;
        }
        let at_least = match self.limits().packed {
            true => MARKED_AT_LEAST_PACKED,
            false => MARKED_AT_LEAST,
        };
        self.spare_writes().max(at_least).min(machines)
    }

    fn machine_states_transaction(&self, ids: &[MachineId], state: MachineState) -> Transaction {
        let view = self.watch_cache.view();
        let mut transaction = Transaction::default();
        for id in ids {
            let Some(record) = view.machines.get(id) else {
                continue;
            };
            if state == MachineState::Returning && view.tasks_on(id).is_some() {
                continue;
            }
            // On condition that the record is unchanged: a placement made meanwhile has the same one.
            let record = MachineRecord {
                state,
                ..record.clone()
            };
            put_machine(&mut transaction, &view, id, &record);
        }
        transaction
    }

    /// Marks empty machines for termination, many with one write: when a deployment shrinks, a write for
    /// each would take longer than the work that is left.
    pub(super) async fn write_termination_batches(&self, ids: &[MachineId]) {
        for chunk in ids.chunks(self.machines_per_request()) {
            // They must still be empty, see `write_machine_states`.
            if !self.watch_cache.linearizable_read().await {
                return;
            }
            let machines: Vec<MachineId> = {
                let view = self.watch_cache.view();
                let not_marked = |id: &MachineId| {
                    view.machines
                        .get(id)
                        .is_some_and(|record| record.state != MachineState::Returning)
                };
                chunk
                    .iter()
                    .filter(|id| view.tasks_on(id).is_none() && not_marked(id))
                    .cloned()
                    .collect()
            };
            if machines.is_empty() {
                continue;
            }
            let name = self.cloud_request_name();
            let count = machines.len();
            let batch = TerminationBatch {
                machines,
                ..TerminationBatch::default()
            };
            let unchanged = vec![keys::LEADER.into()];
            let transaction =
                put_termination_batch(&self.watch_cache.view(), &name, &batch, unchanged);
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&transaction).await {
                tracing::info!(batch = name, machines = count, "termination batch written");
            }
        }
    }

    /// Executes every batch that the cloud has not answered, also those of earlier leaders.
    pub(super) fn execute_termination_batches(self: &Rc<Controller>, state: &mut LeaderState) {
        let unanswered: Vec<(String, TerminationBatch)> = {
            let view = self.watch_cache.view();
            let outstanding = state.outstanding_requests.borrow();
            view.termination_batches
                .iter()
                .filter(|(name, batch)| !batch.terminated && !outstanding.contains(*name))
                .map(|(name, batch)| (name.clone(), batch.clone()))
                .collect()
        };
        let wall_clock = wall();
        for (name, batch) in unanswered {
            for id in &batch.machines {
                state.terminated_at.insert(id.to_string(), wall_clock);
            }
            state.outstanding_requests.borrow_mut().insert(name.clone());
            let controller = self.clone();
            let outstanding = state.outstanding_requests.clone();
            self.executor
                .spawn(async move {
                    controller.execute_termination_batch(&name, batch).await;
                    outstanding.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    async fn execute_termination_batch(&self, name: &str, mut batch: TerminationBatch) {
        let key = keys::termination_batch(name);
        if !self.watch_cache.linearizable_read().await {
            return self.sleep(SECOND / 4).await;
        }
        // A placement may have been made without knowing of the batch: then that machine stays, and
        // the smaller batch is written before anything is terminated.
        let in_use = if batch.declared_dead {
            0
        } else {
            let view = self.watch_cache.view();
            let marked = batch.machines.len();
            batch.machines.retain(|id| view.tasks_on(id).is_none());
            marked - batch.machines.len()
        };
        if in_use == 0 {
            if !self.terminate(&batch.machines).await {
                return self.sleep(SECOND).await;
            }
            batch.terminated = true;
        }
        // If this cannot be written they are terminated once more: the cloud ignores names that it does
        // not know.
        self.write_cloud_answer(key, (!batch.machines.is_empty()).then(|| to_value(&batch)))
            .await;
    }

    /// Terminates machines in the cloud. True once it has answered 200: they and all that ran on them
    /// are gone.
    async fn terminate(&self, ids: &[MachineId]) -> bool {
        let body = encode(&MachineNames {
            machines: ids.iter().map(|id| id.to_string()).collect(),
        });
        let cloud = self.settings.cloud;
        let answer = self
            .http
            .call(
                cloud,
                Method::Post,
                TERMINATE_PATH,
                Some(body),
                CLOUD_TIMEOUT,
            )
            .await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Terminates machines that are marked in their own records.
    pub(super) fn execute_terminations(self: &Rc<Controller>, state: &mut LeaderState) {
        let ids = self.marked_machines(state);
        if ids.is_empty() {
            return;
        }
        let wall_clock = wall();
        for id in &ids {
            state.terminated_at.insert(id.to_string(), wall_clock);
        }
        let outstanding = state.outstanding_terminations.clone();
        outstanding.borrow_mut().extend(ids.iter().cloned());
        let controller = self.clone();
        self.executor
            .spawn(async move {
                controller.terminate_and_delete_records(&ids).await;
                let mut outstanding = outstanding.borrow_mut();
                for id in &ids {
                    outstanding.remove(id);
                }
            })
            .detach();
    }

    /// Machines to terminate with the next request. Lost ones with tasks come first: their tasks can start
    /// elsewhere once the cloud has answered.
    fn marked_machines(&self, state: &LeaderState) -> Vec<MachineId> {
        let view = self.watch_cache.view();
        let outstanding = state.outstanding_terminations.borrow();
        let mut marked: Vec<(bool, MachineId)> = view
            .machines
            .iter()
            .filter(|(id, record)| {
                matches!(record.state, MachineState::Lost | MachineState::Returning)
                    && !view.is_terminating(id)
                    && !outstanding.contains(*id)
            })
            .map(|(id, _)| (view.tasks_on(id).is_none(), id.clone()))
            .collect();
        marked.sort();
        marked
            .into_iter()
            .map(|(_, id)| id)
            .take(MACHINES_PER_CLOUD_REQUEST)
            .collect()
    }

    async fn terminate_and_delete_records(&self, ids: &[MachineId]) {
        if !self.terminate(ids).await {
            return self.sleep(SECOND).await;
        }
        // Records go only now that the machines are gone, those with tasks first: these can start
        // elsewhere.
        let mut ids = ids.to_vec();
        let has_tasks = |id: &MachineId| self.watch_cache.view().tasks_on(id).is_some();
        ids.sort_by_key(|id| !has_tasks(id));
        while !ids.is_empty() {
            let urgent = ids.iter().take_while(|id| has_tasks(id)).count();
            let count = urgent
                .max(self.spare_writes())
                .min(self.state_limits().max_mutations)
                .min(ids.len());
            if count == 0 {
                self.sleep(SECOND / 2).await;
            }
            let transaction = Transaction {
                preconditions: Vec::new(),
                mutations: ids
                    .drain(..count.max(1))
                    .map(|id| Mutation::Delete {
                        key: keys::machine(&id),
                    })
                    .collect(),
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Done(_) => {}
                _ => return self.sleep(SECOND / 2).await,
            }
        }
    }
}
