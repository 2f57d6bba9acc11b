//! Machines that reach no controller while calls reach them: nothing counts them as machines that serve, what they
//! run leaves, and they are not waited for without end.

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

const REPORT: Micros = 5 * SECOND;
const LEASE: Micros = 26 * SECOND;
const TERM: u64 = 5;

/// A worker that holds the token that it says.
struct Worker {
    tick: u64,
    session: u64,
    token: u64,
    notice: Option<f64>,
}

impl Worker {
    fn new() -> Worker {
        Worker {
            tick: 0,
            session: 1,
            token: TERM,
            notice: None,
        }
    }

    fn says(&mut self) -> Heartbeat {
        self.tick += 1;
        Heartbeat {
            machine: "m".into(),
            address: "10.0.0.1:1".into(),
            machine_type: "t".into(),
            zone: "z".into(),
            spot: false,
            session: self.session,
            sequence: self.tick,
            fencing_token: self.token,
            preemption_notice_s: self.notice,
            tasks: Vec::new(),
        }
    }

    fn report(&mut self, m: &mut WorkerState, now: Micros) {
        m.apply_heartbeat(&self.says(), HeartbeatSource::Periodic, now);
    }

    fn call(&mut self, m: &mut WorkerState, now: Micros) {
        m.apply_heartbeat(&self.says(), HeartbeatSource::CommandReply, now);
        m.record_answered_probe(REPORT, now);
    }
}

/// What its owner makes of one machine among others that report.
fn state(m: &WorkerState, before: MachineState, now: Micros) -> MachineState {
    reported_state(m, before, inbound_partition(m, false, LEASE, now))
}

/// It answers calls and never reports: within a lease it is no machine to place work on, it drains, and in the end
/// it is returned. A report makes it one that serves again.
#[test]
fn one_that_never_reports_is_drained_and_in_the_end_returned() {
    let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
    w.report(&mut m, 0);
    let mut drained = None;
    let mut gone = None;
    let mut s = MachineState::Up;
    for k in 1..200 {
        let now = k * SECOND;
        // As often as one is called that says nothing; its lease ends its tasks, and a new session begins.
        if k % 7 == 0 {
            w.session = 1 + now / LEASE;
            w.call(&mut m, now);
        }
        s = state(&m, s, now);
        assert_eq!(
            schedulable_session(&m, 1, false, (REPORT, now)).is_none(),
            m.inbound_partition() || now >= m.heartbeat.last_contact_at + 2 * REPORT
        );
        if s == MachineState::Draining {
            drained.get_or_insert(now);
        }
        if s == MachineState::Lost {
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
    w.report(&mut m, 200 * SECOND);
    assert_eq!(
        state(&m, MachineState::Draining, 200 * SECOND),
        MachineState::Up
    );
    assert_eq!(
        schedulable_session(&m, 1, false, (REPORT, 200 * SECOND)),
        Some(w.session)
    );
    // What the cloud is about to take stays as it is, and so does what fails its tasks.
    w.notice = Some(9.0);
    w.report(&mut m, 201 * SECOND);
    assert_eq!(
        state(&m, MachineState::Draining, 201 * SECOND),
        MachineState::Draining
    );
    let fresh = WorkerState::new(TERM, 0);
    assert_eq!(
        reported_state(&fresh, MachineState::Quarantined, InboundPartition::Drain),
        MachineState::Quarantined
    );
}

/// A new owner of a machine that drains has not heard a report of it: it does not take it for well.
#[test]
fn a_new_owner_does_not_take_it_for_well() {
    let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
    w.call(&mut m, SECOND);
    assert_eq!(
        state(&m, MachineState::Draining, SECOND),
        MachineState::Draining
    );
    w.report(&mut m, 2 * SECOND);
    assert_eq!(
        state(&m, MachineState::Draining, 2 * SECOND),
        MachineState::Up
    );
}

/// A controller that stood still finds that none of its machines has reported for long. Those that are called
/// before their reports are read are not mute for that.
#[test]
fn one_that_stood_still_takes_none_for_mute() {
    let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
    w.report(&mut m, 0);
    let back = 40 * SECOND;
    for k in 0..8 {
        w.call(&mut m, back + k * SECOND);
    }
    assert!(!m.inbound_partition());
    w.report(&mut m, back + 8 * SECOND);
    w.call(&mut m, back + 14 * SECOND);
    assert!(!m.inbound_partition());
}

/// Who holds another's token is driven by that one.
#[test]
fn one_that_shows_another_token_is_not_judged() {
    let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
    w.token = TERM - 1;
    (1..9).for_each(|k| w.call(&mut m, k * 7 * SECOND));
    assert!(!m.inbound_partition());
    assert_eq!(
        inbound_partition(&m, false, LEASE, 900 * SECOND),
        InboundPartition::None
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(38), ..ProptestConfig::default() })]

    /// Whatever comes when: one that reports within each lease is never returned, and one is mute only after it
    /// answered calls for two times between two reports without one.
    #[test]
    fn only_silence_beside_answers_counts(events in proptest::collection::vec((any::<bool>(), 1u64..8), 1..120)) {
        let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
        let (mut now, mut last, mut calls) = (0, 0, 0);
        w.report(&mut m, 0);
        for (report, after) in events {
            now += after * SECOND;
            if report {
                w.report(&mut m, now);
                (last, calls) = (now, 0);
            } else {
                w.call(&mut m, now);
                calls += 1;
            }
            prop_assert!(!m.inbound_partition() || (calls >= 3 && now >= last + 3 * REPORT));
            prop_assert!(m.inbound_partition() || calls < 3 || now < last + 3 * (REPORT + 7 * SECOND));
            let made = inbound_partition(&m, false, LEASE, now);
            prop_assert!(made != InboundPartition::Replace || now > last + 3 * LEASE);
            prop_assert!(made == InboundPartition::None || now > last + LEASE, "it may yet report");
        }
    }

    /// While many are mute, it is no fault of theirs: none is drained or returned for it, and
    /// there is nowhere better to place work.
    #[test]
    fn many_are_left_alone(all in 2usize..60, share in 0usize..=100) {
        let n = all * share / 100;
        let mut machines: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
        for k in 0..all {
            let (mut m, mut w) = (WorkerState::new(TERM, 0), Worker::new());
            w.report(&mut m, 0);
            for c in 1..30 {
                let now = c * 6 * SECOND;
                if k < n { w.call(&mut m, now) } else { w.report(&mut m, now) }
            }
            machines.insert(format!("m-{k}").into(), m);
        }
        let many = many_inbound_partitions(&machines);
        prop_assert_eq!(many, n >= 2 && n * 3 > all);
        let now = 174 * SECOND;
        for m in machines.values() {
            let got = inbound_partition(m, many, LEASE, now);
            prop_assert_eq!(got, if m.inbound_partition() && !many { InboundPartition::Replace } else { InboundPartition::None });
            prop_assert_eq!(schedulable_session(m, 1, many, (REPORT, now)).is_some(), many || !m.inbound_partition());
        }
    }
}
