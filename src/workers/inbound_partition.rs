//! Workers that answer our calls but whose heartbeats reach no controller (an inbound partition), and
//! what a machine's record says from its worker's messages. Pure.
//!
//! Only the answer to a heartbeat renews a lease, so such a worker ends its tasks again and again: it
//! is no machine to place work on.

use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// So many calls answered without a heartbeat in between are no coincidence: a worker that finds no
/// controller at its first try has tried all of them by then.
const PARTITION_PROBES: u32 = 3;
/// A machine is replaced after so many leases without a heartbeat.
const LEASES_BEFORE_REPLACEMENT: u64 = 3;
/// More than one in so many fenced machines is too many for faults of single machines.
const MANY_PARTITIONED_DIVISOR: usize = 3;

/// What the owner does about a machine that sends no heartbeats although it answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboundPartition {
    /// It sends heartbeats, or may yet: before its lease ended its tasks, moving them would leave
    /// services without them for longer than waiting.
    None,
    /// Its lease has ended what ran there: nothing is placed on it.
    Drain,
    /// It has been partitioned for longer than it is worth to wait: terminated and replaced.
    Replace,
}

impl WorkerState {
    /// Whether the worker reaches no controller although calls reach it.
    pub fn inbound_partition(&self) -> bool {
        self.fenced() && self.probes.answered_without_heartbeat >= PARTITION_PROBES
    }

    /// Records an answered call. A controller that was suspended finds heartbeats of all machines
    /// overdue, and those that it calls first are not partitioned for that: an answer counts only a
    /// heartbeat interval after the one counted before.
    pub fn record_answered_probe(&mut self, heartbeat_interval: Micros, now: Micros) {
        let probes = &mut self.probes;
        if now.saturating_sub(probes.last_counted_answer_at) >= heartbeat_interval {
            probes.answered_without_heartbeat += 1;
            probes.last_counted_answer_at = now;
        }
    }
}

/// What to do about a machine that may be partitioned. While many are, it is no fault of single
/// machines, and replacing or draining them would leave the fleet without.
pub fn inbound_partition(
    worker: &WorkerState,
    many_partitioned: bool,
    lease: Micros,
    now: Micros,
) -> InboundPartition {
    let without_heartbeat_for = now.saturating_sub(worker.heartbeat.last_heartbeat_at);
    if !worker.inbound_partition() || many_partitioned || without_heartbeat_for <= lease {
        InboundPartition::None
    } else if without_heartbeat_for > lease * LEASES_BEFORE_REPLACEMENT {
        InboundPartition::Replace
    } else {
        InboundPartition::Drain
    }
}

/// Whether more than one in `MANY_PARTITIONED_DIVISOR` of the machines that hold our token are in an
/// inbound partition.
pub fn many_inbound_partitions(machines: &BTreeMap<MachineId, WorkerState>) -> bool {
    let partitioned = machines.values().filter(|w| w.inbound_partition()).count();
    if partitioned < 2 {
        return false;
    }
    let fenced = machines.values().filter(|w| w.fenced()).count();
    partitioned * MANY_PARTITIONED_DIVISOR > fenced
}

/// The state for the record of a machine that holds our token, from its worker's messages.
pub fn reported_state(
    worker: &WorkerState,
    before: MachineState,
    partition: InboundPartition,
) -> MachineState {
    let heartbeats_resumed = worker.heartbeat.heartbeat_received && !worker.inbound_partition();
    match (before, partition) {
        (_, InboundPartition::Replace) => MachineState::Lost,
        _ if worker.heartbeat.preempted_at.is_some() => MachineState::Draining,
        // A quarantined machine is being replaced already.
        (MachineState::Quarantined, _) => MachineState::Quarantined,
        (_, InboundPartition::Drain) => MachineState::Draining,
        (MachineState::Draining, InboundPartition::None) if heartbeats_resumed => MachineState::Up,
        (MachineState::Booting, InboundPartition::None) => MachineState::Up,
        _ => before,
    }
}

/// The session in which a machine of ours may be given tasks, if it may: its worker must have answered
/// under our token, and recently, and reach us, unless many machines are partitioned: then there is
/// nowhere better, and what starts there runs for at least a lease. That the machine is up need not be
/// written first.
pub fn schedulable_session(
    worker: &WorkerState,
    recorded_session: u64,
    many_partitioned: bool,
    (heartbeat_interval, now): (Micros, Micros),
) -> Option<u64> {
    let in_contact = worker.time_since_contact(now) < heartbeat_interval * 2;
    let reaches_us = many_partitioned || !worker.inbound_partition();
    let schedulable =
        worker.fenced() && in_contact && reaches_us && worker.session >= recorded_session;
    schedulable.then_some(worker.session)
}
