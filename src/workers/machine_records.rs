//! Writes of machine records to the state service by the owner of the machine.
//!
//! Owns only the set of machines whose record is being written
//! (`WorkerRegistry::machines_being_written`): at most one write for a machine is in flight.

use super::backoff::quarantined;
use super::inbound_partition::{
    InboundPartition, inbound_partition, reported_state, widespread_inbound_partitions,
};
use super::liveness::{LivenessCheck, isolated};
use super::worker_state::WorkerState;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::autoscaler::{
    MAX_READY_WRITE_DELAY, MAX_READY_WRITE_DELAY_WITH_PEER_HEARTBEATS, declare_dead, put_machine,
};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::membership::{MAX_READY_MACHINES_PER_HEARTBEAT, shard_of};
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall_clock_now};
use crate::wire::state::Transaction;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time for which a rejected write still counts as in flight for its machines, so that it is not retried
/// at once.
const REFUSAL_RETRY_DELAY: Micros = SECOND / 4;

/// Values that are the same for all machines in one round of writes.
struct WriteRound<'a> {
    view: &'a ClusterState,
    now: Micros,
    /// Whether this controller is unreachable for the workers.
    isolated: bool,
    /// Whether there are more inbound partitions than faults of single machines can explain.
    widespread_partition: bool,
    /// Maximum number of machines that one write declares dead. `None` while a controller of an older
    /// version could not read such a write; each machine is written separately then.
    max_declared_dead: Option<usize>,
    /// Maximum delay of the write that a machine is up.
    max_up_write_delay: Micros,
    budget: WriteBudget,
}

/// State of this controller's share of the state service's write rate.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteBudget {
    /// More than half of the burst is left.
    Spare,
    /// At most half of the burst is left.
    Normal,
    /// Nothing is left, or the budget is overdrawn.
    Exhausted,
}

impl WriteBudget {
    fn from_level((level, burst): (f64, f64)) -> WriteBudget {
        if level <= 0.0 {
            WriteBudget::Exhausted
        } else if level > burst / 2.0 {
            WriteBudget::Spare
        } else {
            WriteBudget::Normal
        }
    }
}

/// Writes of one round.
#[derive(Default)]
struct RecordWrites {
    /// Transaction with the new records.
    transaction: Transaction,
    /// Machines whose records the transaction contains.
    written: Vec<MachineId>,
    /// Machines to declare dead with one write.
    declared_dead: Vec<MachineId>,
    /// Number of machines written as up.
    up_count: usize,
}

impl RecordWrites {
    /// Adds a record, unless its write can be delayed.
    fn add(
        &mut self,
        round: &WriteRound<'_>,
        id: &MachineId,
        worker: &WorkerState,
        record: &MachineRecord,
    ) {
        let is_recorded = round.view.machines.contains_key(id);
        if record.state == MachineState::Lost && is_recorded && round.max_declared_dead.is_some() {
            self.declared_dead.push(id.clone());
            return;
        }
        if is_recorded && record.state == MachineState::Up {
            if !self.up_write_is_due(round, worker) {
                return;
            }
            self.up_count += 1;
        }
        let shard = keys::shard(shard_of(id));
        put_machine(&mut self.transaction, round.view, id, record);
        let preconditions = &mut self.transaction.preconditions;
        if !preconditions.iter().any(|p| p.key == shard) {
            preconditions.push(round.view.precondition(shard));
        }
        self.written.push(id.clone());
    }

    /// Returns whether to write now that a machine is up. Its owner does not need the record and sends
    /// the state to its peers, so the write can wait until the write budget has room, but not
    /// indefinitely: a machine recorded as booting does not count as capacity, and is eventually taken
    /// for one that fails to boot.
    fn up_write_is_due(&self, round: &WriteRound<'_>, worker: &WorkerState) -> bool {
        let fenced_at = worker.heartbeat.fenced_at;
        let recent =
            fenced_at.is_some_and(|at| round.now.saturating_sub(at) < round.max_up_write_delay);
        match round.budget {
            WriteBudget::Exhausted => !recent && self.up_count == 0,
            WriteBudget::Normal => !recent,
            WriteBudget::Spare => true,
        }
    }
}

impl Controller {
    /// Returns whether this controller is isolated from the workers, rather than single machines being
    /// dead.
    pub fn is_isolated(&self, view: &ClusterState, now: Micros) -> bool {
        let is_up = |id: &MachineId| {
            view.machines.get(id).is_some_and(|record| {
                !matches!(
                    record.state,
                    MachineState::Booting | MachineState::Lost | MachineState::Returning
                )
            })
        };
        isolated(
            &self.workers.machines(),
            &is_up,
            self.settings.heartbeat_interval,
            now,
        )
    }

    /// Writes the machine records that differ from their desired content.
    pub fn write_machine_records(self: &Rc<Controller>, now: Micros) {
        if !self.watch_cache.is_current() {
            return;
        }
        let writes = self.collect_record_writes(now);
        if !writes.declared_dead.is_empty() {
            let number = self.workers.dead_declaration_count.get() + 1;
            self.workers.dead_declaration_count.set(number);
            let lease = self.membership.lease().unwrap_or(0);
            let name = format!("{}-{lease}-lost-{number}", self.node_name());
            let ids = writes.declared_dead;
            let transaction = declare_dead(&self.watch_cache.view(), &name, ids.clone());
            self.commit_record_writes(transaction, ids);
        }
        if !writes.written.is_empty() {
            self.commit_record_writes(writes.transaction, writes.written);
        }
    }

    fn collect_record_writes(&self, now: Micros) -> RecordWrites {
        let view = self.watch_cache.view();
        let isolated = self.is_isolated(&view, now);
        let machines = self.workers.machines.borrow();
        let round = WriteRound {
            view: &view,
            now,
            isolated,
            widespread_partition: widespread_inbound_partitions(&machines),
            max_declared_dead: self
                .transaction_limits()
                .write_newer_layout
                .then(|| self.max_machines_per_request()),
            max_up_write_delay: max_up_write_delay(&view, &machines),
            budget: WriteBudget::from_level(self.watch_cache.client().write_budget()),
        };
        let max_mutations = self.state_limits().max_mutations;
        let being_written = self.workers.machines_being_written.borrow();
        let mut writes = RecordWrites::default();
        for (id, worker) in machines.iter() {
            let max_dead = round.max_declared_dead;
            if being_written.contains(id)
                || writes.transaction.mutations.len() >= max_mutations
                || max_dead.is_some_and(|n| writes.declared_dead.len() >= n)
            {
                continue;
            }
            if let Some(record) = self.desired_record(&round, id, worker) {
                writes.add(&round, id, worker, &record);
            }
        }
        writes
    }

    /// Returns the desired record of a machine if it differs from the current one.
    fn desired_record(
        &self,
        round: &WriteRound<'_>,
        id: &MachineId,
        worker: &WorkerState,
    ) -> Option<MachineRecord> {
        let now = round.now;
        let Some(current) = round.view.machines.get(id) else {
            return self.record_of_unlisted_machine(id, worker, now);
        };
        if matches!(current.state, MachineState::Lost | MachineState::Returning) {
            return None;
        }
        let mut desired = current.clone();
        if worker.fenced() {
            self.apply_reported_state(round, id, worker, &mut desired);
        }
        let has_tasks = self.watch_cache.view().tasks_on(id).is_some();
        let check = LivenessCheck {
            heartbeat_timeout: self.policy.heartbeat_timeout,
            now,
            isolated: round.isolated,
        };
        if worker.lost(desired.state, has_tasks, check) {
            let silent_for_ms = worker.time_since_contact(now) / 1000;
            tracing::info!(machine = %id, silent_for_ms, "heartbeat lost, machine declared dead");
            desired.state = MachineState::Lost;
        }
        (desired != *current).then_some(desired)
    }

    /// Returns a record for a machine that has none. Unexpected machines are used because they are paid
    /// for. Usually the leader finds them in the cloud's list and records many with one write; this
    /// method covers machines that the list omits.
    fn record_of_unlisted_machine(
        &self,
        id: &MachineId,
        worker: &WorkerState,
        now: Micros,
    ) -> Option<MachineRecord> {
        let description = worker.identity.description.clone()?;
        // A deleted record belonged to a machine that was terminated and no longer exists, however
        // recent its last message is. If it were recorded again, tasks would be placed there and never
        // start.
        let terminated = self.watch_cache.view().is_deleted(&keys::machine(id));
        let fenced_at = worker.heartbeat.fenced_at;
        let fenced_long_enough =
            fenced_at.is_some_and(|at| now.saturating_sub(at) > MAX_READY_WRITE_DELAY);
        if terminated
            || !worker.fenced()
            || !fenced_long_enough
            || worker.time_since_contact(now) > self.settings.heartbeat_interval
        {
            return None;
        }
        Some(MachineRecord {
            machine_type: description.machine_type,
            zone: description.zone,
            spot: description.spot,
            address: Some(description.address),
            session: worker.session,
            state: MachineState::Up,
            provisioned_at: wall_clock_now(),
        })
    }

    /// Sets session, address and state from the messages of a fenced worker.
    fn apply_reported_state(
        &self,
        round: &WriteRound<'_>,
        id: &MachineId,
        worker: &WorkerState,
        desired: &mut MachineRecord,
    ) {
        let now = round.now;
        desired.session = desired.session.max(worker.session);
        if let Some(description) = &worker.identity.description {
            desired.address = Some(description.address.clone());
        }
        let lease = self.settings.worker_lease;
        let partition = inbound_partition(worker, round.widespread_partition, lease, now);
        if partition == InboundPartition::Replace {
            let without_heartbeat_for_ms =
                now.saturating_sub(worker.heartbeat.last_heartbeat_at) / 1000;
            tracing::info!(
                machine = %id,
                without_heartbeat_for_ms,
                "worker answers calls but sends no heartbeats, machine declared dead"
            );
        }
        desired.state = reported_state(worker, desired.state, partition);
        let job_backoffs = self.workers.job_backoffs.borrow();
        let failed_elsewhere = |job: &str| {
            job_backoffs
                .get(job)
                .is_some_and(|state| state.failed_elsewhere(id))
        };
        if matches!(desired.state, MachineState::Up) && quarantined(worker, &failed_elsewhere) {
            tracing::info!(machine = %id, "machine quarantined because tasks fail on it");
            desired.state = MachineState::Quarantined;
        }
    }

    /// Commits a write of machine records. No other write for these machines starts until it has ended.
    fn commit_record_writes(self: &Rc<Controller>, transaction: Transaction, ids: Vec<MachineId>) {
        self.workers
            .machines_being_written
            .borrow_mut()
            .extend(ids.iter().cloned());
        let controller = self.clone();
        self.executor
            .spawn(async move {
                match controller.watch_cache.transaction(&transaction).await {
                    TransactionOutcome::Committed(_) => {}
                    TransactionOutcome::Rejected(_) => controller.sleep(REFUSAL_RETRY_DELAY).await,
                    _ => {
                        controller.watch_cache.linearizable_read().await;
                    }
                }
                let mut being_written = controller.workers.machines_being_written.borrow_mut();
                for id in &ids {
                    being_written.remove(id);
                }
                drop(being_written);
                controller.watch_cache.notifier().notify();
            })
            .detach();
    }
}

/// Returns the maximum delay of the write that a machine is up. It is longer while messages to the
/// peers contain all such machines. Controllers of an older version, and controllers that receive only
/// some of the machines because the messages are full, would take the others for machines that fail to
/// boot.
fn max_up_write_delay(view: &ClusterState, machines: &BTreeMap<MachineId, WorkerState>) -> Micros {
    let is_booting = |id: &&MachineId| {
        let record = view.machines.get(*id);
        record.is_some_and(|r| r.state == MachineState::Booting)
    };
    let booting = machines.keys().filter(is_booting).count();
    match view.layout.is_some() && booting <= MAX_READY_MACHINES_PER_HEARTBEAT {
        true => MAX_READY_WRITE_DELAY_WITH_PEER_HEARTBEATS,
        false => MAX_READY_WRITE_DELAY,
    }
}
