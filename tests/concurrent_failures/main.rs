//! Failures that coincide. The state service refuses one controller, then everybody, while others confirm
//! cancellations, answers come late, and controllers end: every task of a cancelled job is gone in time.

#[path = "../common/mod.rs"]
mod common;
mod digests;
mod world;

use coppergw::membership::cancellation_watermark::CONFIRMATION_HOLD;
use coppergw::time::SECOND;
use proptest::prelude::*;
use world::{CANCEL, DigestSize, TASKS, World, job_id};

proptest! {
    #![proptest_config(ProptestConfig { cases: 2048, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]
    /// Whatever order refusals, outages, ends, late answers and cancellations come in.
    #[test]
    fn tasks_of_cancelled_jobs_are_gone_in_time(
        short in any::<bool>(),
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 200..600),
    ) {
        let digest_size = if short { DigestSize::One } else { DigestSize::Ample };
        let mut world = World::new(digest_size);
        for (operation, selector, argument) in steps {
            world.step(operation, selector, argument);
        }
        world.advance(CANCEL);
    }
}

/// What happens at a moment. At the same moment events happen in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Refuse { node: usize },
    Outage,
    Cancel { node: usize, task: usize },
    AskState { node: usize, task: usize },
    BeginRead { node: usize },
    EndRead { node: usize },
    AskPeer { node: usize, to: usize },
    Answer { node: usize },
    Restart { node: usize },
    Heartbeats,
}

impl Event {
    fn happen(self, world: &mut World) {
        match self {
            Event::Refuse { node } => world.controllers[node].refused = true,
            Event::Outage => world.outage = true,
            Event::Cancel { node, task } => world.cancel(node, task),
            Event::AskState { node, task } => world.ask_state(node, task),
            Event::BeginRead { node } => world.begin_read(node),
            Event::EndRead { node } => world.end_read(node),
            Event::AskPeer { node, to } => world.ask_peer(node, to),
            Event::Answer { node } => {
                world.give_answer(node, 0);
                world.take_answer(node, 0);
            }
            Event::Restart { node } => world.restart(node),
            Event::Heartbeats => world.send_heartbeats(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1024, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]
    /// Jobs are cancelled at the very moment at which one is refused, and everybody a moment later, for longer than
    /// `CANCEL`: refusal, writes, answers of others, reads under way and the outage within three seconds, in steps
    /// of 10 ms. Who is refused may be any, and one of the others may end and be back.
    #[test]
    fn cancelled_at_the_very_moment_of_a_refusal(
        who in 0usize..3,
        refusal in 0u64..300,
        outage in 0u64..300,
        writes in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASKS), 1..8),
        polls in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASKS), 0..8),
        reads in proptest::collection::vec((0u64..300, 0u64..120, 0usize..3), 0..8),
        questions in proptest::collection::vec((0u64..300, 0u64..60, 0usize..3, 0usize..3), 0..8),
        end in (0u64..1200, 0usize..3),
    ) {
        let mut world = World::new(DigestSize::Ample);
        world.round();
        let mut events: Vec<(u64, Event)> = vec![(refusal, Event::Refuse { node: who }), (outage, Event::Outage)];
        events.extend(writes.iter().map(|(at, node, task)| (*at, Event::Cancel { node: *node, task: *task })));
        events.extend(polls.iter().map(|(at, node, task)| (*at, Event::AskState { node: *node, task: *task })));
        for (at, span, node) in reads {
            events.extend([(at, Event::BeginRead { node }), (at + span, Event::EndRead { node })]);
        }
        for (at, span, node, to) in questions.into_iter().filter(|question| question.2 != question.3) {
            events.extend([(at, Event::AskPeer { node, to }), (at + span, Event::Answer { node })]);
        }
        if end.0 < 400 {
            events.push((end.0, Event::Restart { node: end.1 }));
        }
        events.extend((0..30).map(|round| (round * 10 + 3, Event::Heartbeats)));
        events.sort_unstable();
        let mut now = 0;
        for (at, event) in events {
            world.advance((at - now) * SECOND / 100);
            now = at;
            event.happen(&mut world);
        }
        world.rounds(110);
        for (number, task) in world.tasks.iter().enumerate() {
            prop_assert!(world.confirmed_at[number].is_none() || task.gone, "{} goes on", job_id(number));
        }
    }
}

/// Refused alone, another confirms, then an outage for all that lasts longer than `CANCEL`. An owner that took that
/// for an outage in which nobody can have cancelled anything would keep the tasks alive for as long as it
/// lasted.
#[test]
fn refused_alone_and_then_an_outage_for_all() {
    for gap in [0, 2, 5, 20] {
        let mut world = World::new(DigestSize::Ample);
        world.controllers[0].refused = true;
        world.rounds(gap);
        // Another confirms a part of them; a third learns of some by a read, of others by nobody.
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
                task.gone,
                number < 7,
                "task {number}, refused for {gap} s before"
            );
        }
    }
}

/// What keeps the rule costs nothing in an outage that all share, however long, while all controllers answer each
/// other; and a cancellation of the last moment before it, which its owner did not read, is carried out in
/// it.
#[test]
fn an_outage_for_all_ends_no_task() {
    let mut world = World::new(DigestSize::Ample);
    world.cancel(1, 0);
    world.outage = true;
    world.rounds(600);
    assert!(world.tasks[0].gone);
    assert!(world.tasks[1..].iter().all(|task| !task.gone));
    assert!(world.kept_in_outage > 10_000);
}

/// One that was asked without the state service confirms nothing for a while, so the incarnation that follows at once
/// vouches for it, and an outage in which a controller ends costs no task of the others.
#[test]
fn an_incarnation_that_starts_within_the_promise_of_the_one_before_vouches_for_it() {
    let mut world = World::new(DigestSize::Ample);
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
    others.for_each(|(number, task)| assert_eq!(task.gone, number == 0, "task {number}"));
}

/// Without such a promise one that is back in an outage cannot tell what its earlier incarnation confirmed: nobody
/// may count on it, and tasks end by their leases. Here the rule costs kept work.
#[test]
fn an_incarnation_that_read_nothing_vouches_for_nothing() {
    let mut world = World::new(DigestSize::Ample);
    world.cancel(1, 0);
    world.outage = true;
    world.restart(1);
    world.rounds(110);
    assert!(world.tasks.iter().all(|task| task.gone));
}

/// The promise holds also when the service is back for the one who gave it, and for that long only.
#[test]
fn one_that_promised_confirms_nothing_when_the_service_is_back() {
    let mut world = World::new(DigestSize::Ample);
    world.outage = true;
    world.rounds(10);
    (world.controllers[0].refused, world.controllers[2].refused) = (true, true);
    world.outage = false;
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], None);
    world.rounds(CONFIRMATION_HOLD / SECOND + 1);
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], Some(world.now));
    world.rounds(110);
}

/// What a controller learned of a cancellation from a peer it may confirm from then on: it is part of its own digest.
#[test]
fn a_merged_cancellation_is_in_the_own_digest() {
    let mut world = World::new(DigestSize::Ample);
    world.controllers[0].refused = true;
    world.controllers[2].refused = true;
    world.cancel(1, 0);
    let cancelled = |world: &mut World, node: usize, to: usize| {
        world.ask_peer(node, to);
        world.give_answer(node, 0);
        let answer = world.controllers[node].questions[0].answer.clone();
        let digest = answer.and_then(|answer| answer.digest);
        world.take_answer(node, 0);
        digest.expect("loaded").cancelled.len()
    };
    assert_eq!(cancelled(&mut world, 2, 0), 0);
    assert_eq!(cancelled(&mut world, 0, 1), 1);
    world.ask_state(0, 0);
    assert!(world.confirmed_at[0].is_some());
    assert_eq!(cancelled(&mut world, 2, 0), 1);
    common::indexed(&world.controllers[2].view);
    assert!(world.controllers[2].view.jobs["req-000000"].cancelled());
}

/// One that loads its view anew has still confirmed in this incarnation, and what it confirmed is in the view
/// meanwhile.
#[test]
fn one_that_loads_its_view_anew_answers_for_what_it_confirmed() {
    let mut world = World::new(DigestSize::Ample);
    world.outage = true;
    world.rounds(10);
    (world.controllers[0].refused, world.controllers[2].refused) = (true, true);
    world.outage = false;
    world.rounds(CONFIRMATION_HOLD / SECOND + 1);
    world.cancel(1, 0);
    assert_eq!(world.confirmed_at[0], Some(world.now));
    world.outage = true;
    world.controllers[1].loaded = false;
    world.rounds(4);
    assert!(world.tasks[0].gone, "it was confirmed at once");
    world.rounds(110);
}
