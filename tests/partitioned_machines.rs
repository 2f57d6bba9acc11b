//! Machines in an inbound partition: calls reach them, their heartbeats reach no controller. Nothing is placed on
//! them, what they run is moved, and in the end they are replaced.

mod common;

use coppergw::autoscaler::model::MachineState;
use coppergw::ids::MachineId;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::worker::Heartbeat;
use coppergw::workers::{
    HeartbeatSource, InboundPartition, WorkerState, inbound_partition, many_inbound_partitions,
    reported_state, schedulable_session,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const HEARTBEAT_INTERVAL: Micros = 5 * SECOND;
const LEASE: Micros = 26 * SECOND;
const TERM: u64 = 5;

/// A worker that holds the fencing token it shows.
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
            token: TERM,
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

    fn send_heartbeat(&mut self, known: &mut WorkerState, now: Micros) {
        known.apply_heartbeat(&self.next_heartbeat(), HeartbeatSource::Periodic, now);
    }

    fn answer_call(&mut self, known: &mut WorkerState, now: Micros) {
        known.apply_heartbeat(&self.next_heartbeat(), HeartbeatSource::CommandReply, now);
        known.record_answered_probe(HEARTBEAT_INTERVAL, now);
    }
}

/// What the owner writes about one machine while the others send heartbeats.
fn state_of(known: &WorkerState, before: MachineState, now: Micros) -> MachineState {
    reported_state(known, before, inbound_partition(known, false, LEASE, now))
}

/// It answers calls and sends no heartbeats: within a lease nothing is placed on it, it drains, and in the end it is
/// replaced. A heartbeat makes it schedulable again.
#[test]
fn one_that_never_reports_is_drained_and_in_the_end_returned() {
    let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
    worker.send_heartbeat(&mut known, 0);
    let mut drained = None;
    let mut gone = None;
    let mut state = MachineState::Up;
    for second in 1..200 {
        let now = second * SECOND;
        // As often as a silent machine is called; its lease ends its tasks, and a new session begins.
        if second % 7 == 0 {
            worker.session = 1 + now / LEASE;
            worker.answer_call(&mut known, now);
        }
        state = state_of(&known, state, now);
        assert_eq!(
            schedulable_session(&known, 1, false, (HEARTBEAT_INTERVAL, now)).is_none(),
            known.inbound_partition()
                || now >= known.heartbeat.last_contact_at + 2 * HEARTBEAT_INTERVAL
        );
        if state == MachineState::Draining {
            drained.get_or_insert(now);
        }
        if state == MachineState::Lost {
            gone.get_or_insert(now);
        }
    }
    assert!(
        drained.is_some_and(|at| at > LEASE && at < 2 * LEASE),
        "{drained:?}"
    );
    assert!(
        gone.is_some_and(|at| at > 2 * LEASE && at < 4 * LEASE),
        "{gone:?}"
    );
    worker.send_heartbeat(&mut known, 200 * SECOND);
    assert_eq!(
        state_of(&known, MachineState::Draining, 200 * SECOND),
        MachineState::Up
    );
    assert_eq!(
        schedulable_session(&known, 1, false, (HEARTBEAT_INTERVAL, 200 * SECOND)),
        Some(worker.session)
    );
    // A machine with a preemption notice goes on draining, and a quarantined one stays quarantined.
    worker.preemption_notice_s = Some(9.0);
    worker.send_heartbeat(&mut known, 201 * SECOND);
    assert_eq!(
        state_of(&known, MachineState::Draining, 201 * SECOND),
        MachineState::Draining
    );
    let fresh = WorkerState::new(TERM, 0);
    assert_eq!(
        reported_state(&fresh, MachineState::Quarantined, InboundPartition::Drain),
        MachineState::Quarantined
    );
}

/// A new owner of a draining machine has got no heartbeat of it yet: it leaves it draining.
#[test]
fn a_new_owner_does_not_take_it_for_well() {
    let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
    worker.answer_call(&mut known, SECOND);
    assert_eq!(
        state_of(&known, MachineState::Draining, SECOND),
        MachineState::Draining
    );
    worker.send_heartbeat(&mut known, 2 * SECOND);
    assert_eq!(
        state_of(&known, MachineState::Draining, 2 * SECOND),
        MachineState::Up
    );
}

/// A controller that was suspended finds heartbeats of all its machines overdue. Those that are called before their
/// heartbeats are read are not partitioned for that.
#[test]
fn one_that_stood_still_takes_none_for_mute() {
    let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
    worker.send_heartbeat(&mut known, 0);
    let back = 40 * SECOND;
    for second in 0..8 {
        worker.answer_call(&mut known, back + second * SECOND);
    }
    assert!(!known.inbound_partition());
    worker.send_heartbeat(&mut known, back + 8 * SECOND);
    worker.answer_call(&mut known, back + 14 * SECOND);
    assert!(!known.inbound_partition());
}

/// A worker that holds another owner's token is driven by that one.
#[test]
fn one_that_shows_another_token_is_not_judged() {
    let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
    worker.token = TERM - 1;
    (1..9).for_each(|times| worker.answer_call(&mut known, times * 7 * SECOND));
    assert!(!known.inbound_partition());
    assert_eq!(
        inbound_partition(&known, false, LEASE, 900 * SECOND),
        InboundPartition::None
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(38), ..ProptestConfig::default() })]

    /// Whatever comes when: a machine that sends a heartbeat within each lease is never replaced, and one is partitioned
    /// only after it answered calls for at least two heartbeat intervals without a heartbeat.
    #[test]
    fn only_silence_beside_answers_counts(events in proptest::collection::vec((any::<bool>(), 1u64..8), 1..120)) {
        let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
        let (mut now, mut last, mut calls) = (0, 0, 0);
        worker.send_heartbeat(&mut known, 0);
        for (heartbeat, after) in events {
            now += after * SECOND;
            if heartbeat {
                worker.send_heartbeat(&mut known, now);
                (last, calls) = (now, 0);
            } else {
                worker.answer_call(&mut known, now);
                calls += 1;
            }
            prop_assert!(!known.inbound_partition() || (calls >= 3 && now >= last + 3 * HEARTBEAT_INTERVAL));
            prop_assert!(known.inbound_partition() || calls < 3 || now < last + 3 * (HEARTBEAT_INTERVAL + 7 * SECOND));
            let action = inbound_partition(&known, false, LEASE, now);
            prop_assert!(action != InboundPartition::Replace || now > last + 3 * LEASE);
            prop_assert!(action == InboundPartition::None || now > last + LEASE, "it may yet send one");
        }
    }

    /// While many are partitioned, it is no fault of theirs: none is drained or replaced for it, and there is nowhere
    /// better to place work.
    #[test]
    fn many_are_left_alone(all in 2usize..60, share in 0usize..=100) {
        let partitioned = all * share / 100;
        let mut machines: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
        for index in 0..all {
            let (mut known, mut worker) = (WorkerState::new(TERM, 0), SimulatedWorker::new());
            worker.send_heartbeat(&mut known, 0);
            for round in 1..30 {
                let now = round * 6 * SECOND;
                if index < partitioned { worker.answer_call(&mut known, now) } else { worker.send_heartbeat(&mut known, now) }
            }
            machines.insert(format!("m-{index}").into(), known);
        }
        let many = many_inbound_partitions(&machines);
        prop_assert_eq!(many, partitioned >= 2 && partitioned * 3 > all);
        let now = 174 * SECOND;
        for known in machines.values() {
            let action = inbound_partition(known, many, LEASE, now);
            prop_assert_eq!(action, if known.inbound_partition() && !many { InboundPartition::Replace } else { InboundPartition::None });
            prop_assert_eq!(schedulable_session(known, 1, many, (HEARTBEAT_INTERVAL, now)).is_some(), many || !known.inbound_partition());
        }
    }
}
