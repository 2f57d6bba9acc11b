//! Machines in an inbound partition: calls reach them, but their heartbeats reach no controller. No task is placed on
//! them, their tasks are moved, and finally the machines are replaced.

mod common;

use coppergw::autoscaler::model::MachineState;
use coppergw::ids::MachineId;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::worker::Heartbeat;
use coppergw::workers::{
    HeartbeatSource, InboundPartition, WorkerState, inbound_partition, reported_state,
    schedulable_session, widespread_inbound_partitions,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const HEARTBEAT_INTERVAL: Micros = 5 * SECOND;
const LEASE_DURATION: Micros = 26 * SECOND;
/// Term, and so fencing token, of the owner of the machine.
const OWNER_TERM: u64 = 5;

/// A worker that reports the fencing token it holds.
struct SimulatedWorker {
    sequence: u64,
    session: u64,
    token: u64,
    preemption_notice_s: Option<f64>,
}

impl SimulatedWorker {
    fn new() -> SimulatedWorker {
        SimulatedWorker {
            sequence: 0,
            session: 1,
            token: OWNER_TERM,
            preemption_notice_s: None,
        }
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: "m".into(),
            address: "10.0.0.1:1".into(),
            machine_type: "t".into(),
            zone: "z".into(),
            spot: false,
            session: self.session,
            sequence: self.sequence,
            fencing_token: self.token,
            preemption_notice_s: self.preemption_notice_s,
            tasks: Vec::new(),
        }
    }

    fn send_heartbeat(&mut self, worker_state: &mut WorkerState, now: Micros) {
        worker_state.apply_heartbeat(&self.next_heartbeat(), HeartbeatSource::Periodic, now);
    }

    fn answer_call(&mut self, worker_state: &mut WorkerState, now: Micros) {
        worker_state.apply_heartbeat(&self.next_heartbeat(), HeartbeatSource::CommandReply, now);
        worker_state.record_answered_probe(HEARTBEAT_INTERVAL, now);
    }
}

/// Returns the state that the owner records for a machine while the other machines send heartbeats,
/// so that the partition is not widespread.
fn next_machine_state(
    worker_state: &WorkerState,
    before: MachineState,
    now: Micros,
) -> MachineState {
    reported_state(
        worker_state,
        before,
        inbound_partition(worker_state, false, LEASE_DURATION, now),
    )
}

/// A machine that answers calls and sends no heartbeats gets no tasks within a lease, is drained, and is finally
/// replaced. A heartbeat makes it schedulable again.
#[test]
fn machine_without_heartbeats_is_drained_and_replaced() {
    let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
    worker.send_heartbeat(&mut worker_state, 0);
    let mut drained_at = None;
    let mut lost_at = None;
    let mut state = MachineState::Up;
    for second in 1..200 {
        let now = second * SECOND;
        // The interval of calls to a machine without heartbeats. Its lease expires, its tasks end, and a new session
        // begins.
        if second % 7 == 0 {
            worker.session = 1 + now / LEASE_DURATION;
            worker.answer_call(&mut worker_state, now);
        }
        state = next_machine_state(&worker_state, state, now);
        assert_eq!(
            schedulable_session(&worker_state, 1, false, (HEARTBEAT_INTERVAL, now)).is_none(),
            worker_state.inbound_partition()
                || now >= worker_state.heartbeat.last_contact_at + 2 * HEARTBEAT_INTERVAL
        );
        if state == MachineState::Draining {
            drained_at.get_or_insert(now);
        }
        if state == MachineState::Lost {
            lost_at.get_or_insert(now);
        }
    }
    assert!(
        drained_at.is_some_and(|at| at > LEASE_DURATION && at < 2 * LEASE_DURATION),
        "{drained_at:?}"
    );
    assert!(
        lost_at.is_some_and(|at| at > 2 * LEASE_DURATION && at < 4 * LEASE_DURATION),
        "{lost_at:?}"
    );
    worker.send_heartbeat(&mut worker_state, 200 * SECOND);
    assert_eq!(
        next_machine_state(&worker_state, MachineState::Draining, 200 * SECOND),
        MachineState::Up
    );
    assert_eq!(
        schedulable_session(&worker_state, 1, false, (HEARTBEAT_INTERVAL, 200 * SECOND)),
        Some(worker.session)
    );
    // A machine with a preemption notice stays draining, and a quarantined one stays quarantined.
    worker.preemption_notice_s = Some(9.0);
    worker.send_heartbeat(&mut worker_state, 201 * SECOND);
    assert_eq!(
        next_machine_state(&worker_state, MachineState::Draining, 201 * SECOND),
        MachineState::Draining
    );
    let worker_without_heartbeats = WorkerState::new(OWNER_TERM, 0);
    assert_eq!(
        reported_state(
            &worker_without_heartbeats,
            MachineState::Quarantined,
            InboundPartition::Drain
        ),
        MachineState::Quarantined
    );
}

/// A new owner that has received no heartbeat of a draining machine leaves it draining.
#[test]
fn new_owner_keeps_machine_draining_until_a_heartbeat() {
    let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
    worker.answer_call(&mut worker_state, SECOND);
    assert_eq!(
        next_machine_state(&worker_state, MachineState::Draining, SECOND),
        MachineState::Draining
    );
    worker.send_heartbeat(&mut worker_state, 2 * SECOND);
    assert_eq!(
        next_machine_state(&worker_state, MachineState::Draining, 2 * SECOND),
        MachineState::Up
    );
}

/// A controller that was suspended finds the heartbeats of all its machines overdue. Machines that it calls before it
/// reads their heartbeats do not count as partitioned.
#[test]
fn resumed_controller_marks_no_machine_partitioned() {
    let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
    worker.send_heartbeat(&mut worker_state, 0);
    let resumed_at = 40 * SECOND;
    for second in 0..8 {
        worker.answer_call(&mut worker_state, resumed_at + second * SECOND);
    }
    assert!(!worker_state.inbound_partition());
    worker.send_heartbeat(&mut worker_state, resumed_at + 8 * SECOND);
    worker.answer_call(&mut worker_state, resumed_at + 14 * SECOND);
    assert!(!worker_state.inbound_partition());
}

/// A worker that holds the fencing token of another owner takes its commands from that owner.
#[test]
fn machine_with_another_token_is_not_marked_partitioned() {
    let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
    worker.token = OWNER_TERM - 1;
    (1..9).for_each(|call| worker.answer_call(&mut worker_state, call * 7 * SECOND));
    assert!(!worker_state.inbound_partition());
    assert_eq!(
        inbound_partition(&worker_state, false, LEASE_DURATION, 900 * SECOND),
        InboundPartition::None
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(38), ..ProptestConfig::default() })]

    /// For any order of heartbeats and answers, a machine that sends a heartbeat within each lease is never replaced, and
    /// one counts as partitioned only after it answered calls for at least two heartbeat intervals without a heartbeat.
    #[test]
    fn partition_requires_answers_without_heartbeats(events in proptest::collection::vec((any::<bool>(), 1u64..8), 1..120)) {
        let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
        let (mut now, mut last_heartbeat_at, mut answered_calls) = (0, 0, 0);
        worker.send_heartbeat(&mut worker_state, 0);
        for (is_heartbeat, delay_s) in events {
            now += delay_s * SECOND;
            if is_heartbeat {
                worker.send_heartbeat(&mut worker_state, now);
                (last_heartbeat_at, answered_calls) = (now, 0);
            } else {
                worker.answer_call(&mut worker_state, now);
                answered_calls += 1;
            }
            prop_assert!(!worker_state.inbound_partition() || (answered_calls >= 3 && now >= last_heartbeat_at + 3 * HEARTBEAT_INTERVAL));
            prop_assert!(worker_state.inbound_partition() || answered_calls < 3 || now < last_heartbeat_at + 3 * (HEARTBEAT_INTERVAL + 7 * SECOND));
            let action = inbound_partition(&worker_state, false, LEASE_DURATION, now);
            prop_assert!(action != InboundPartition::Replace || now > last_heartbeat_at + 3 * LEASE_DURATION);
            prop_assert!(action == InboundPartition::None || now > last_heartbeat_at + LEASE_DURATION, "no action should be taken before the lease has expired");
        }
    }

    /// While many machines are partitioned, the cause is not in the machines: none is drained or replaced for it, and
    /// tasks are still placed on them, since no machine is better suited.
    #[test]
    fn widespread_partition_leaves_machines_unchanged(machine_count in 2usize..60, partitioned_percent in 0usize..=100) {
        let partitioned = machine_count * partitioned_percent / 100;
        let mut machines: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
        for index in 0..machine_count {
            let (mut worker_state, mut worker) = (WorkerState::new(OWNER_TERM, 0), SimulatedWorker::new());
            worker.send_heartbeat(&mut worker_state, 0);
            for round in 1..30 {
                let now = round * 6 * SECOND;
                if index < partitioned { worker.answer_call(&mut worker_state, now) } else { worker.send_heartbeat(&mut worker_state, now) }
            }
            machines.insert(format!("m-{index}").into(), worker_state);
        }
        let widespread_partition = widespread_inbound_partitions(&machines);
        prop_assert_eq!(widespread_partition, partitioned >= 2 && partitioned * 3 > machine_count);
        let now = 174 * SECOND;
        for worker_state in machines.values() {
            let action = inbound_partition(worker_state, widespread_partition, LEASE_DURATION, now);
            prop_assert_eq!(action, if worker_state.inbound_partition() && !widespread_partition { InboundPartition::Replace } else { InboundPartition::None });
            prop_assert_eq!(schedulable_session(worker_state, 1, widespread_partition, (HEARTBEAT_INTERVAL, now)).is_some(), widespread_partition || !worker_state.inbound_partition());
        }
    }
}
