//! Inbound partitions: workers that answer direct calls while their heartbeats reach no controller.
//! Also the state of a machine's record as it follows from its worker's messages. Pure.
//!
//! Only the answer to a heartbeat renews a lease, so the leases of such a worker keep expiring and end
//! its tasks each time. No tasks should be placed on its machine.

use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Number of calls answered without a heartbeat in between after which a worker counts as partitioned.
/// Fewer may be chance, but a worker that reaches no controller at its first attempt has tried all
/// controllers by then.
const PARTITION_ANSWERED_CALL_COUNT: u32 = 3;
/// Number of lease durations without a heartbeat after which a machine is replaced.
const REPLACEMENT_LEASE_COUNT: u64 = 3;
/// Divisor of the number of fenced machines: more partitioned machines than the quotient cannot be
/// explained by faults of single machines.
const WIDESPREAD_PARTITION_DIVISOR: usize = 3;

/// Measure taken by the owner of a machine that answers calls but sends no heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboundPartition {
    /// No measure: the machine sends heartbeats or may still resume them. Its tasks run until its lease
    /// expires, and moving them earlier would interrupt services for longer than waiting does.
    None,
    /// Placing no tasks on the machine: its lease has expired, which ended the tasks that ran there.
    Drain,
    /// Terminating and replacing the machine: the partition has lasted too long to wait for its end.
    Replace,
}

impl WorkerState {
    /// Returns whether the worker reaches no controller although calls reach the worker.
    pub fn inbound_partition(&self) -> bool {
        self.fenced() && self.probes.answered_without_heartbeat >= PARTITION_ANSWERED_CALL_COUNT
    }

    /// Records an answered call. An answer counts only if at least one heartbeat interval has passed
    /// since the last counted one: after a suspended controller resumes, the heartbeats of all machines
    /// are overdue, and the machines that it calls first must not be taken for partitioned.
    pub fn record_answered_probe(&mut self, heartbeat_interval: Micros, now: Micros) {
        let probes = &mut self.probes;
        if now.saturating_sub(probes.last_counted_answer_at) >= heartbeat_interval {
            probes.answered_without_heartbeat += 1;
            probes.last_counted_answer_at = now;
        }
    }
}

/// Returns the measure for a machine that may be partitioned. If many are, the cause is not in the
/// single machines, and replacing or draining all of them would leave the fleet without capacity.
pub fn inbound_partition(
    worker: &WorkerState,
    widespread_partition: bool,
    lease: Micros,
    now: Micros,
) -> InboundPartition {
    let without_heartbeat_for = now.saturating_sub(worker.heartbeat.last_heartbeat_at);
    if !worker.inbound_partition() || widespread_partition || without_heartbeat_for <= lease {
        InboundPartition::None
    } else if without_heartbeat_for > lease * REPLACEMENT_LEASE_COUNT {
        InboundPartition::Replace
    } else {
        InboundPartition::Drain
    }
}

/// Returns whether more than one in `WIDESPREAD_PARTITION_DIVISOR` of the fenced machines, and at least
/// two, are in an inbound partition.
pub fn widespread_inbound_partitions(machines: &BTreeMap<MachineId, WorkerState>) -> bool {
    let partitioned = machines.values().filter(|w| w.inbound_partition()).count();
    if partitioned < 2 {
        return false;
    }
    let fenced = machines.values().filter(|w| w.fenced()).count();
    partitioned * WIDESPREAD_PARTITION_DIVISOR > fenced
}

/// Returns the state for the record of a fenced machine, derived from its worker's messages.
pub fn reported_state(
    worker: &WorkerState,
    before: MachineState,
    partition: InboundPartition,
) -> MachineState {
    let heartbeats_resumed = worker.heartbeat.heartbeat_received && !worker.inbound_partition();
    match (before, partition) {
        (_, InboundPartition::Replace) => MachineState::Lost,
        _ if worker.heartbeat.preempted_at.is_some() => MachineState::Draining,
        // A quarantined machine is already being replaced.
        (MachineState::Quarantined, _) => MachineState::Quarantined,
        (_, InboundPartition::Drain) => MachineState::Draining,
        (MachineState::Draining, InboundPartition::None) if heartbeats_resumed => MachineState::Up,
        (MachineState::Booting, InboundPartition::None) => MachineState::Up,
        _ => before,
    }
}

/// Returns the session in which tasks may be placed on a machine of an owned shard, or `None` if none
/// may be placed. The worker must be fenced, must have been in contact recently, and must reach this
/// controller. The last condition is dropped while many machines are partitioned: no better machine is
/// available then, and a task that starts there runs for at least one lease. The machine need not be
/// recorded as up before.
pub fn schedulable_session(
    worker: &WorkerState,
    recorded_session: u64,
    widespread_partition: bool,
    (heartbeat_interval, now): (Micros, Micros),
) -> Option<u64> {
    let in_contact = worker.time_since_contact(now) < heartbeat_interval * 2;
    let reaches_controller = widespread_partition || !worker.inbound_partition();
    let schedulable =
        worker.fenced() && in_contact && reaches_controller && worker.session >= recorded_session;
    schedulable.then_some(worker.session)
}
