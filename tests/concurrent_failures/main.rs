//! Concurrent failures. The state service refuses one controller, then all of them, while others confirm
//! cancellations, answers are delayed, and controllers restart: each task of a cancelled job ends within the
//! cancellation timeout.

#[path = "../common/mod.rs"]
mod common;
mod digests;
mod world;

use coppergw::membership::cancellation_watermark::CONFIRMATION_HOLD_TIME;
use coppergw::time::SECOND;
use proptest::prelude::*;
use world::{CANCEL_TIMEOUT, DigestSize, TASK_COUNT, World, job_id};

proptest! {
    #![proptest_config(ProptestConfig { cases: 2048, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]
    /// Tasks of cancelled jobs end in time for any order of refusals, outages, restarts, delayed answers and
    /// cancellations.
    #[test]
    fn cancelled_tasks_end_within_the_timeout(
        single_entry in any::<bool>(),
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 200..600),
    ) {
        let digest_size = if single_entry { DigestSize::OneEntry } else { DigestSize::Complete };
        let mut world = World::new(digest_size);
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
        }
        world.advance(CANCEL_TIMEOUT);
    }
}

/// An event at a given time. Events with the same time are applied in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Refuse { node: usize },
    Outage,
    Cancel { node: usize, task: usize },
    QueryStatus { node: usize, task: usize },
    BeginRead { node: usize },
    EndRead { node: usize },
    SendPeerRequest { node: usize, to: usize },
    ExchangeAnswer { node: usize },
    Restart { node: usize },
    Heartbeats,
}

impl Event {
    fn apply(self, world: &mut World) {
        match self {
            Event::Refuse { node } => world.controllers[node].refused = true,
            Event::Outage => world.outage = true,
            Event::Cancel { node, task } => world.cancel(node, task),
            Event::QueryStatus { node, task } => world.query_status(node, task),
            Event::BeginRead { node } => world.begin_read(node),
            Event::EndRead { node } => world.end_read(node),
            Event::SendPeerRequest { node, to } => world.send_peer_request(node, to),
            Event::ExchangeAnswer { node } => {
                world.answer_peer_request(node, 0);
                world.receive_response(node, 0);
            }
            Event::Restart { node } => world.restart(node),
            Event::Heartbeats => world.send_heartbeats(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1024, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]
    /// Jobs are cancelled while the state service starts to refuse one controller and, shortly after, all of them for
    /// longer than `CANCEL_TIMEOUT`. Refusal, writes, answers of peers, pending reads and the start of the outage fall
    /// within three seconds, in steps of 10 ms. Any controller may be the refused one, and any may restart.
    #[test]
    fn cancellation_concurrent_with_a_refusal(
        refused_node in 0usize..3,
        refusal in 0u64..300,
        outage in 0u64..300,
        writes in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASK_COUNT), 1..8),
        status_queries in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASK_COUNT), 0..8),
        reads in proptest::collection::vec((0u64..300, 0u64..120, 0usize..3), 0..8),
        peer_requests in proptest::collection::vec((0u64..300, 0u64..60, 0usize..3, 0usize..3), 0..8),
        restart in (0u64..1200, 0usize..3),
    ) {
        let mut world = World::new(DigestSize::Complete);
        world.round();
        let mut events: Vec<(u64, Event)> = vec![(refusal, Event::Refuse { node: refused_node }), (outage, Event::Outage)];
        events.extend(writes.iter().map(|(at, node, task)| (*at, Event::Cancel { node: *node, task: *task })));
        events.extend(status_queries.iter().map(|(at, node, task)| (*at, Event::QueryStatus { node: *node, task: *task })));
        for (at, span, node) in reads {
            events.extend([(at, Event::BeginRead { node }), (at + span, Event::EndRead { node })]);
        }
        for (at, span, node, to) in peer_requests.into_iter().filter(|request| request.2 != request.3) {
            events.extend([(at, Event::SendPeerRequest { node, to }), (at + span, Event::ExchangeAnswer { node })]);
        }
        if restart.0 < 400 {
            events.push((restart.0, Event::Restart { node: restart.1 }));
        }
        events.extend((0..30).map(|round| (round * 10 + 3, Event::Heartbeats)));
        events.sort_unstable();
        let mut now = 0;
        for (at, event) in events {
            world.advance((at - now) * SECOND / 100);
            now = at;
            event.apply(&mut world);
        }
        world.rounds(110);
        for (number, task) in world.tasks.iter().enumerate() {
            prop_assert!(world.confirmed_at[number].is_none() || task.ended, "tasks of {} should have ended", job_id(number));
        }
    }
}

/// The state service refuses one controller, another confirms cancellations, and then all are refused for longer than
/// `CANCEL_TIMEOUT`. An owner that took the whole period for an outage without any possible cancellation would renew
/// the leases of cancelled tasks until the outage ended.
#[test]
fn single_refusal_followed_by_a_full_outage() {
    for refused_s in [0, 2, 5, 20] {
        let mut world = World::new(DigestSize::Complete);
        world.controllers[0].refused = true;
        world.rounds(refused_s);
        // Another controller confirms some cancellations; a third one reads some of them, but not the last.
        for task in 0..6 {
            world.cancel(1, task);
        }
        world.begin_read(2);
        world.end_read(2);
        world.cancel(1, 6);
        world.outage = true;
        world.rounds(110);
        for (number, task) in world.tasks.iter().enumerate() {
            assert_eq!(
                task.ended,
                number < 7,
                "task {number}, owner refused for {refused_s} s before the outage"
            );
        }
    }
}

/// In an outage of any length that affects all controllers, no task ends as long as the controllers answer each other.
/// A cancellation confirmed just before the outage, which the owner has not read, takes effect during the outage.
#[test]
fn full_outage_ends_no_task() {
    let mut world = World::new(DigestSize::Complete);
    world.cancel(1, 0);
    world.outage = true;
    world.rounds(600);
    assert!(world.tasks[0].ended);
    assert!(world.tasks[1..].iter().all(|task| !task.ended));
    assert!(world.renewals_in_outage > 10_000);
}

/// A controller that answers a peer without reaching the state service confirms nothing during its confirmation hold.
/// The digest of an incarnation that starts within the hold therefore covers the previous one, and a restart during an
/// outage ends no task of the other controllers.
#[test]
fn restart_within_confirmation_hold_keeps_tasks() {
    let mut world = World::new(DigestSize::Complete);
    world.cancel(1, 0);
    world.outage = true;
    world.rounds(10);
    world.restart(1);
    world.cancel(1, 3);
    world.rounds(300);
    let others = world
        .tasks
        .iter()
        .enumerate()
        .filter(|(number, _)| number % 3 != 1);
    others.for_each(|(number, task)| assert_eq!(task.ended, number == 0, "task {number}"));
}

/// Without a confirmation hold, a controller that restarts in an outage has no record of the cancellations that its
/// previous incarnation confirmed. Its digest does not count, and tasks end with their leases: here the rule costs
/// running work.
#[test]
fn restart_without_confirmation_hold_ends_tasks() {
    let mut world = World::new(DigestSize::Complete);
    world.cancel(1, 0);
    world.outage = true;
    world.restart(1);
    world.rounds(110);
    assert!(world.tasks.iter().all(|task| task.ended));
}

/// The confirmation hold stays in force when the state service accepts the controller again, and ends after its
/// duration.
#[test]
fn confirmation_hold_outlasts_the_outage() {
    let mut world = World::new(DigestSize::Complete);
    world.outage = true;
    world.rounds(10);
    (world.controllers[0].refused, world.controllers[2].refused) = (true, true);
    world.outage = false;
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], None);
    world.rounds(CONFIRMATION_HOLD_TIME / SECOND + 1);
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], Some(world.now));
    world.rounds(110);
}

/// A controller may confirm a cancellation that it received from a peer from then on, so its own digest lists it.
#[test]
fn merged_cancellation_is_in_own_digest() {
    let mut world = World::new(DigestSize::Complete);
    world.controllers[0].refused = true;
    world.controllers[2].refused = true;
    world.cancel(1, 0);
    let cancelled = |world: &mut World, node: usize, to: usize| {
        world.send_peer_request(node, to);
        world.answer_peer_request(node, 0);
        let response = world.controllers[node].peer_requests[0].response.clone();
        let digest = response.and_then(|response| response.digest);
        world.receive_response(node, 0);
        digest.expect("loaded").cancelled.len()
    };
    assert_eq!(cancelled(&mut world, 2, 0), 0);
    assert_eq!(cancelled(&mut world, 0, 1), 1);
    world.query_status(0, 0);
    assert!(world.confirmed_at[0].is_some());
    assert_eq!(cancelled(&mut world, 2, 0), 1);
    common::indexed(&world.controllers[2].view);
    assert!(world.controllers[2].view.jobs["req-000000"].cancelled());
}

/// A controller that reloads its view has confirmed cancellations in this incarnation, and they stay in the view while
/// it reloads.
#[test]
fn reloading_controller_keeps_confirmed_cancellations() {
    let mut world = World::new(DigestSize::Complete);
    world.outage = true;
    world.rounds(10);
    (world.controllers[0].refused, world.controllers[2].refused) = (true, true);
    world.outage = false;
    world.rounds(CONFIRMATION_HOLD_TIME / SECOND + 1);
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], Some(world.now));
    world.outage = true;
    world.controllers[1].loaded = false;
    world.rounds(4);
    assert!(
        world.tasks[0].ended,
        "the confirmed cancellation should end the task"
    );
    world.rounds(110);
}
