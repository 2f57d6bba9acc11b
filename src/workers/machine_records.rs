//! Writing machine records: what the owner of a machine wants its record in the state service to say.
//!
//! Owns no state but the set of machines whose record is being written
//! (`WorkerRegistry::machines_being_written`): one write about a machine at a time.

use super::backoff::quarantined;
use super::inbound_partition::{
    InboundPartition, inbound_partition, many_inbound_partitions, reported_state,
};
use super::liveness::{LivenessCheck, isolated};
use super::worker_state::WorkerState;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::autoscaler::{
    MAX_READY_WRITE_DELAY, MAX_READY_WRITE_DELAY_PEERS_AWARE, declare_dead, put_machine,
};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::membership::{MAX_READY_MACHINES, shard_of};
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall};
use crate::wire::state::Transaction;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Pause after a write whose preconditions did not hold: the watch brings what changed.
const RETRY_AFTER_REFUSAL: Micros = SECOND / 4;

/// What holds for all machines in one round of writes.
struct WriteRound<'a> {
    view: &'a ClusterState,
    now: Micros,
    /// It is us whom the workers cannot reach.
    isolated: bool,
    /// Too many inbound partitions for faults of single machines.
    many_partitioned: bool,
    /// Machines that one write declares dead; `None` while a controller of an older version could
    /// not read such a write: then each is written alone.
    max_declared_dead: Option<usize>,
    /// That a machine is up is written at the latest after this.
    ready_delay: Micros,
    budget: WriteBudget,
}

/// What our share of the state service's write rate allows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteBudget {
    /// More than half of the burst is left.
    Spare,
    /// Something is left.
    Normal,
    /// More was used than came.
    Exhausted,
}

impl WriteBudget {
    fn of((level, burst): (f64, f64)) -> WriteBudget {
        if level <= 0.0 {
            WriteBudget::Exhausted
        } else if level > burst / 2.0 {
            WriteBudget::Spare
        } else {
            WriteBudget::Normal
        }
    }
}

/// The writes of one round.
#[derive(Default)]
struct RecordWrites {
    /// New records.
    transaction: Transaction,
    /// Their machines.
    written: Vec<MachineId>,
    /// Machines to declare dead with one write.
    declared_dead: Vec<MachineId>,
    /// Machines written as up.
    ready: usize,
}

impl RecordWrites {
    /// Adds a record if it is worth a write now.
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
            if !self.ready_is_due(round, worker) {
                return;
            }
            self.ready += 1;
        }
        let shard = keys::shard(shard_of(id));
        put_machine(&mut self.transaction, round.view, id, record);
        let preconditions = &mut self.transaction.preconditions;
        if !preconditions.iter().any(|p| p.key == shard) {
            preconditions.push(round.view.precondition(shard));
        }
        self.written.push(id.clone());
    }

    /// Whether to write now that a machine is up. Its owner knows without a write, and tells the peers:
    /// it can wait until writes are to spare, but not for good. What is recorded as booting does not
    /// count as capacity, and is taken for a machine that does not come up.
    fn ready_is_due(&self, round: &WriteRound<'_>, worker: &WorkerState) -> bool {
        let fenced_at = worker.heartbeat.fenced_at;
        let recent = fenced_at.is_some_and(|at| round.now.saturating_sub(at) < round.ready_delay);
        match round.budget {
            WriteBudget::Exhausted => !recent && self.ready == 0,
            WriteBudget::Normal => !recent,
            WriteBudget::Spare => true,
        }
    }
}

impl Controller {
    /// Whether it is us whom the workers cannot reach, rather than single machines that died.
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

    /// Writes the machine records that differ from what their owner wants them to say.
    pub fn write_machine_records(self: &Rc<Controller>, now: Micros) {
        if !self.watch_cache.current() {
            return;
        }
        let writes = self.collect_record_writes(now);
        if !writes.declared_dead.is_empty() {
            let number = self.workers.dead_declaration_count.get() + 1;
            self.workers.dead_declaration_count.set(number);
            let lease = self.membership.lease().unwrap_or(0);
            let name = format!("{}-{lease}-lost-{number}", self.me());
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
            many_partitioned: many_inbound_partitions(&machines),
            max_declared_dead: self
                .limits()
                .newer_layout
                .then(|| self.machines_per_request()),
            ready_delay: ready_delay(&view, &machines),
            budget: WriteBudget::of(self.watch_cache.client().write_level()),
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

    /// What the record of a machine should say, if that differs from what it says.
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
            lost_after: self.policy.lost_after,
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

    /// A record for a machine that has none. Unexpected machines are used: they are paid for. The leader
    /// finds them in the cloud's list, many with one write; this is for those that the list omits.
    fn record_of_unlisted_machine(
        &self,
        id: &MachineId,
        worker: &WorkerState,
        now: Micros,
    ) -> Option<MachineRecord> {
        let description = worker.identity.description.clone()?;
        // A record that was deleted belonged to a machine that was terminated and is gone, however
        // recent its last message: written again, it would get tasks that never start.
        let terminated = self.watch_cache.view().deleted(&keys::machine(id));
        let fenced_at = worker.heartbeat.fenced_at;
        let known_for_long =
            fenced_at.is_some_and(|at| now.saturating_sub(at) > MAX_READY_WRITE_DELAY);
        if terminated
            || !worker.fenced()
            || !known_for_long
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
            rented_at: wall(),
        })
    }

    /// Session, address and state as the messages of a fenced worker have them.
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
        let partition = inbound_partition(worker, round.many_partitioned, lease, now);
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

    /// Commits a write about machines of which no other is written meanwhile.
    fn commit_record_writes(self: &Rc<Controller>, transaction: Transaction, ids: Vec<MachineId>) {
        self.workers
            .machines_being_written
            .borrow_mut()
            .extend(ids.iter().cloned());
        let controller = self.clone();
        self.executor
            .spawn(async move {
                match controller.watch_cache.transaction(&transaction).await {
                    TransactionOutcome::Done(_) => {}
                    TransactionOutcome::Refused(_) => controller.sleep(RETRY_AFTER_REFUSAL).await,
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

/// How long the write that a machine is up may be put off. Longer while messages to the peers tell them;
/// controllers of an older version, and those who hear only of some machines because the messages are
/// full, would take the others for machines that do not come up.
fn ready_delay(view: &ClusterState, machines: &BTreeMap<MachineId, WorkerState>) -> Micros {
    let is_booting = |id: &&MachineId| {
        let record = view.machines.get(*id);
        record.is_some_and(|r| r.state == MachineState::Booting)
    };
    let booting = machines.keys().filter(is_booting).count();
    match view.layout.is_some() && booting <= MAX_READY_MACHINES {
        true => MAX_READY_WRITE_DELAY_PEERS_AWARE,
        false => MAX_READY_WRITE_DELAY,
    }
}
