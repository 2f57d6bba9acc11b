//! Terminations: machines are first marked in the state service, individually in their records or together
//! in a termination batch, and then terminated in the cloud. Only after the cloud has answered 200 are the
//! machines and all tasks on them considered terminated.

use super::LeaderState;
use crate::autoscaler::model::{MachineRecord, MachineState, TerminationBatch};
use crate::autoscaler::put_machine;
use crate::autoscaler::transactions::put_termination_batch;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{SECOND, wall_clock_now};
use crate::wire::cloud::{MachineNames, TERMINATE_PATH};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::{encode, to_value};
use std::rc::Rc;

/// Maximum number of machines that the cloud terminates for one request.
const MAX_MACHINES_PER_TERMINATION_REQUEST: usize = 100;
/// Share of the write burst that marking machines and deleting their records leave to user requests and placements.
const RESERVED_WRITE_BURST_SHARE: f64 = 0.3;
/// Minimum number of machines marked per iteration of the loop, even when write capacity is scarce. Each
/// machine terminated earlier saves its cost for the rest of the day.
const MIN_MACHINES_MARKED: usize = 3;
/// The same minimum while task blocks are stored packed, which needs fewer writes.
const MIN_MACHINES_MARKED_PACKED: usize = 5;

impl Controller {
    /// Returns the writes available for marking machines and deleting their records; user requests and placements take
    /// precedence.
    fn spare_writes(&self) -> usize {
        let (level, burst) = self.watch_cache.client().write_budget();
        (level - burst * RESERVED_WRITE_BURST_SHARE).max(0.0) as usize
    }

    /// Writes a new state into the records of machines, as far as spare write capacity allows.
    pub(super) async fn write_machine_states(&self, ids: &[MachineId], state: MachineState) {
        for chunk in ids.chunks(self.state_limits().max_mutations) {
            let chunk = &chunk[..self.writable_state_count(chunk.len(), state)];
            // An empty machine must still be empty. A placement does not change the machine's record, so
            // a linearizable read picks up placements made since the decision.
            let terminating = state == MachineState::Returning;
            if terminating && !self.watch_cache.linearizable_read().await {
                return;
            }
            let transaction = self.machine_states_transaction(chunk, state);
            if transaction.mutations.is_empty() {
                continue;
            }
            if let TransactionOutcome::Committed(_) =
                self.watch_cache.transaction(&transaction).await
            {
                let machines = transaction.mutations.len();
                tracing::info!(machines, ?state, "machine states written");
            }
        }
    }

    /// Returns how many of the given number of machine states may be written now.
    fn writable_state_count(&self, machines: usize, state: MachineState) -> usize {
        // Pending work needs this capacity.
        if state == MachineState::Up {
            return machines;
        }
        let minimum = match self.transaction_limits().write_packed_blocks {
            true => MIN_MACHINES_MARKED_PACKED,
            false => MIN_MACHINES_MARKED,
        };
        self.spare_writes().max(minimum).min(machines)
    }

    /// Returns the transaction that writes a new state into the records of machines.
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
            // The precondition is that the record is unchanged. Placements have the same precondition, so a
            // placement that was decided before this write fails after it.
            let record = MachineRecord {
                state,
                ..record.clone()
            };
            put_machine(&mut transaction, &view, id, &record);
        }
        transaction
    }

    /// Marks empty machines for termination, many with one write. When a deployment shrinks, one write per
    /// machine would take longer than the remaining work.
    pub(super) async fn write_termination_batches(&self, ids: &[MachineId]) {
        for chunk in ids.chunks(self.max_machines_per_request()) {
            // The machines must still be empty, see `write_machine_states`.
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
            let name = self.next_cloud_request_name();
            let count = machines.len();
            let batch = TerminationBatch {
                machines,
                ..TerminationBatch::default()
            };
            let unchanged_keys = vec![keys::LEADER.into()];
            let transaction =
                put_termination_batch(&self.watch_cache.view(), &name, &batch, unchanged_keys);
            if let TransactionOutcome::Committed(_) =
                self.watch_cache.transaction(&transaction).await
            {
                tracing::info!(batch = name, machines = count, "termination batch written");
            }
        }
    }

    /// Executes every batch that the cloud has not answered, including those of earlier leaders.
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
        let wall_clock = wall_clock_now();
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

    /// Terminates the machines of one batch and writes the cloud's response.
    async fn execute_termination_batch(&self, name: &str, mut batch: TerminationBatch) {
        let key = keys::termination_batch(name);
        if !self.watch_cache.linearizable_read().await {
            return self.sleep(SECOND / 4).await;
        }
        // A controller may have placed a task before it received the batch. Such a machine is removed from
        // the batch, and the smaller batch is written before any machine is terminated.
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
        // If this write fails, the termination request is sent again: the cloud ignores unknown names.
        self.write_cloud_answer(key, (!batch.machines.is_empty()).then(|| to_value(&batch)))
            .await;
    }

    /// Terminates machines in the cloud. Returns true if the cloud has answered 200, which means that the
    /// machines and all tasks on them are terminated.
    async fn terminate(&self, ids: &[MachineId]) -> bool {
        let body = encode(&MachineNames {
            machines: ids.iter().map(|id| id.to_string()).collect(),
        });
        let answer = self.post_to_cloud(TERMINATE_PATH, body).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Terminates machines that are marked in their records rather than in a batch.
    pub(super) fn execute_terminations(self: &Rc<Controller>, state: &mut LeaderState) {
        let ids = self.marked_machines(state);
        if ids.is_empty() {
            return;
        }
        let wall_clock = wall_clock_now();
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

    /// Returns the machines to terminate with the next request. Lost machines with tasks come first, since
    /// their tasks can restart on other machines once the cloud has answered.
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
            .take(MAX_MACHINES_PER_TERMINATION_REQUEST)
            .collect()
    }

    /// Terminates machines in the cloud and then deletes their records.
    async fn terminate_and_delete_records(&self, ids: &[MachineId]) {
        if !self.terminate(ids).await {
            return self.sleep(SECOND).await;
        }
        // Records are deleted only after the machines are terminated. Machines with tasks come first, since
        // their tasks can then restart on other machines.
        let mut ids = ids.to_vec();
        let has_tasks = |id: &MachineId| self.watch_cache.view().tasks_on(id).is_some();
        ids.sort_by_key(|id| !has_tasks(id));
        while !ids.is_empty() {
            let with_tasks = ids.iter().take_while(|id| has_tasks(id)).count();
            let count = with_tasks
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
                TransactionOutcome::Committed(_) => {}
                _ => return self.sleep(SECOND / 2).await,
            }
        }
    }
}
