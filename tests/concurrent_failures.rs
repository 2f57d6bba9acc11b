//! Where two troubles meet. The state service refuses one controller, then everybody, while others confirm
//! cancellations, answers come late, and controllers end: every task of a cancelled job is gone in time.

mod common;

use common::{LIMITS, Store, spec};
use coppergw::jobs::commit::cancel;
use coppergw::jobs::model::{JobRecord, Placement, TaskBlock, TaskState};
use coppergw::jobs::pipelines::answer;
use coppergw::membership::cancellation_watermark::{
    CONFIRMATION_HOLD, CancellationWatermarks, DigestSource, cancellation_digest, held_until,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::{CancellationDigest, PeerHeartbeat};
use coppergw::wire::user::{JobKind, Status};
use coppergw::workers::may_answer;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["a", "b", "c"];
const LEASE: Micros = 26 * SECOND;
const CANCEL: Micros = 52 * SECOND;
/// Tasks, each of a job of its own; the owner of the machine of task k is controller k modulo 3.
const TASKS: usize = 24;

/// A read of the state service that is under way: when it began, and what it found.
type Read = (Micros, u64, usize);

/// A question under way.
#[derive(Clone)]
struct Question {
    to: usize,
    at: Micros,
    hello: PeerHeartbeat,
    answer: Option<PeerHeartbeat>,
}

struct Controller {
    born: Micros,
    view: ClusterState,
    /// How much of the log is in the view.
    seen: usize,
    loaded: bool,
    whole_at: Micros,
    words: CancellationWatermarks,
    /// Whether the state service refuses it alone.
    refused: bool,
    read: Option<Read>,
    asked: Vec<Question>,
    /// Until then it promised to confirm no cancellation.
    bound: Micros,
}

struct Task {
    /// When the worker's lease ends it.
    until: Micros,
    gone: bool,
}

struct World {
    now: Micros,
    store: Store,
    outage: bool,
    nodes: Vec<Controller>,
    tasks: Vec<Task>,
    /// When a user was told that the job of each task is cancelled.
    told: Vec<Option<Micros>>,
    /// Whether lists between controllers hold one cancellation only.
    short: bool,
    kept: u32,
}

fn name(task: usize) -> String {
    format!("req-{task:06}")
}

fn process(born: Micros) -> Controller {
    Controller {
        born,
        bound: 0,
        view: ClusterState::default(),
        seen: 0,
        loaded: false,
        whole_at: 0,
        words: CancellationWatermarks::default(),
        refused: false,
        read: None,
        asked: Vec::new(),
    }
}

impl World {
    fn new(short: bool) -> World {
        let mut store = Store::default();
        for k in 0..TASKS {
            let p = Placement {
                attempt: 1,
                machine: format!("m-{k}").as_str().into(),
                session: 1,
                stop: None,
            };
            let job = JobRecord(
                spec(JobKind::Array, 1),
                TaskBlock(vec![TaskState::Placed(p)]),
            );
            store.put(keys::job(&name(k)), &job);
        }
        let now = 1000 * SECOND;
        let task = || Task {
            until: now + LEASE,
            gone: false,
        };
        let mut w = World {
            now,
            store,
            outage: false,
            nodes: (0..3).map(|_| process(now)).collect(),
            tasks: (0..TASKS).map(|_| task()).collect(),
            told: vec![None; TASKS],
            short,
            kept: 0,
        };
        for n in 0..3 {
            w.begin_read(n);
            w.end_read(n);
        }
        w
    }

    /// It ends and is back within moments.
    fn end(&mut self, n: usize) {
        let refused = self.nodes[n].refused;
        self.nodes[n] = process(self.now);
        self.nodes[n].refused = refused;
    }

    fn state_ok(&self, n: usize) -> bool {
        let p = &self.nodes[n];
        p.loaded && self.now - p.whole_at < 3 * SECOND
    }

    fn reaches(&self, n: usize) -> bool {
        !self.outage && !self.nodes[n].refused
    }

    fn begin_read(&mut self, n: usize) {
        if self.reaches(n) && self.nodes[n].read.is_none() {
            let found = (self.now, self.store.rev, self.store.log.len());
            self.nodes[n].read = Some(found);
        }
    }

    /// The answer arrives, perhaps much later than it was given.
    fn end_read(&mut self, n: usize) {
        let p = &mut self.nodes[n];
        let Some((begun, rev, len)) = p.read.take() else {
            return;
        };
        for (rev, k, v) in self.store.log.get(p.seen..len).unwrap_or_default() {
            match v {
                Some(v) => p.view.put(k, v, *rev),
                None => p.view.delete(k, *rev),
            }
        }
        p.seen = p.seen.max(len);
        p.view.revision = p.view.revision.max(rev);
        p.loaded = true;
        p.whole_at = p.whole_at.max(begun);
    }

    /// A user withdraws a job; a controller that reaches the state service confirms it at once.
    fn cancel(&mut self, n: usize, task: usize) {
        let p = &self.nodes[n];
        if !self.reaches(n) || !p.loaded || self.now < p.bound {
            return;
        }
        self.nodes[n].read = None;
        self.begin_read(n);
        self.end_read(n);
        let t = cancel(&self.nodes[n].view, &name(task).as_str().into(), LIMITS);
        let t = t.expect("the job is there");
        assert!(self.store.apply(&t), "nobody else writes");
        let rev = self.store.rev;
        for c in &t.mutations {
            if let coppergw::wire::state::Mutation::Put {
                key: put, value: v, ..
            } = c
            {
                self.nodes[n].view.put(put, v, rev);
            }
        }
        self.ask_state(n, task);
    }

    /// A user asks how a job is: `cancelled` may come from memory.
    fn ask_state(&mut self, n: usize, task: usize) {
        let a = answer(&self.nodes[n].view, &name(task));
        if a.is_some_and(|a| a.status == Status::Cancelled) && self.now >= self.nodes[n].bound {
            self.told[task].get_or_insert(self.now);
        }
    }

    fn ask(&mut self, n: usize, to: usize) {
        let hello = PeerHeartbeat {
            node: NAMES[n].into(),
            state_service_reachable: self.state_ok(n),
            revision: self.nodes[n].view.revision,
            ..PeerHeartbeat::default()
        };
        let at = self.now;
        self.nodes[n].asked.push(Question {
            to,
            at,
            hello,
            answer: None,
        });
    }

    /// Whoever runs under that name now answers a question that arrives.
    fn give_word(&mut self, n: usize, nth: usize) {
        let most = if self.short { 1 } else { 100 };
        let len = self.nodes[n].asked.len().max(1);
        let q = self.nodes[n].asked.get(nth % len).cloned();
        let Some(q) = q.filter(|q| q.answer.is_none()) else {
            return;
        };
        let p = &self.nodes[q.to];
        let state_ok = self.state_ok(q.to);
        let w = cancellation_digest(
            &DigestSource {
                view: &p.view,
                loaded: p.whole_at > 0,
                state_ok,
                age: self.now - p.born,
                most,
            },
            &q.hello,
        );
        let bound = held_until(&w, self.now).max(p.bound);
        let hello = PeerHeartbeat {
            node: NAMES[q.to].into(),
            state_service_reachable: state_ok,
            revision: p.view.revision,
            digest: Some(w),
            ..PeerHeartbeat::default()
        };
        self.nodes[q.to].bound = bound;
        self.nodes[n].asked[nth % len].answer = Some(hello);
    }

    fn hear_word(&mut self, n: usize, nth: usize) {
        let now = self.now;
        let p = &mut self.nodes[n];
        let len = p.asked.len().max(1);
        if p.asked.get(nth % len).is_none_or(|q| q.answer.is_none()) {
            return;
        }
        let q = p.asked.remove(nth % len);
        let hello = q.answer.expect("answered");
        let times = (q.at, now);
        for (id, stamp) in p.words.take(NAMES[q.to], times, q.hello.revision, &hello) {
            p.view.merge_cancelled(id, *stamp);
        }
    }

    /// A worker reports to the owner of its machine.
    fn report(&mut self, task: usize) {
        let (t, p) = (&mut self.tasks[task], &self.nodes[task % 3]);
        if t.gone || !p.loaded {
            return;
        }
        let peers = (0..3).filter(|s| *s != task % 3).map(|s| NAMES[s]);
        let cancellation_watermark = p.words.cancellation_watermark(p.whole_at, peers, self.now);
        if !may_answer(LEASE, CANCEL, cancellation_watermark, self.now) {
            return;
        }
        if p.view.jobs[name(task).as_str()].cancelled() {
            t.gone = true;
        } else {
            t.until = self.now + LEASE;
            self.kept += u32::from(self.outage);
        }
    }

    fn pass(&mut self, time: Micros) {
        self.now += time;
        for (k, t) in self.tasks.iter_mut().enumerate() {
            let end = t.until.min(self.now);
            let told = self.told[k].unwrap_or(self.now);
            if !t.gone {
                assert!(
                    end <= told + CANCEL,
                    "{} outlives its cancellation",
                    name(k)
                );
            }
            t.gone |= t.until < self.now;
        }
    }

    fn step(&mut self, op: u8, a: u8, b: u8) {
        let (n, to) = (a as usize % 3, b as usize % 3);
        let task = b as usize % TASKS;
        match op % 32 {
            0 => self.nodes[n].refused ^= true,
            1 => self.outage ^= true,
            2 if a.is_multiple_of(8) => self.end(n),
            3..=5 => self.begin_read(n),
            6..=8 => self.end_read(n),
            9 => self.cancel(n, task),
            10 if a >= 224 => self.nodes[n].loaded = false,
            10 => self.ask_state(n, task),
            11..=13 if n != to => self.ask(n, to),
            14..=16 => self.give_word(n, b as usize),
            17..=19 => self.hear_word(n, b as usize),
            20..=23 => self.pass(u64::from(b) * SECOND / 64),
            _ => (0..TASKS).for_each(|k| self.report(k)),
        }
    }

    /// All but the ended ask each other and hear the answers.
    fn round(&mut self) {
        for n in 0..3 {
            self.nodes[n].asked.clear();
            for to in (0..3).filter(|to| *to != n) {
                self.ask(n, to);
                let last = self.nodes[n].asked.len() - 1;
                self.give_word(n, last);
                self.hear_word(n, last);
            }
            self.begin_read(n);
            self.end_read(n);
        }
        (0..TASKS).for_each(|k| self.report(k));
        self.pass(SECOND);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2048, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]
    /// Whatever order refusals, outages, ends, late answers and cancellations come in.
    #[test]
    fn tasks_of_cancelled_jobs_are_gone_in_time(
        short in any::<bool>(),
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 200..600),
    ) {
        let mut w = World::new(short);
        for (op, a, b) in steps {
            w.step(op, a, b);
        }
        w.pass(CANCEL);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1024, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]
    /// Jobs are cancelled at the very moment at which one is refused, and everybody a moment later, for longer than
    /// `CANCEL`: refusal, writes, answers of others, reads under way and the outage within three seconds, in shifts of
    /// 10 ms. Who is refused may be any, and one of the others may end and be back.
    #[test]
    fn cancelled_at_the_very_moment_of_a_refusal(
        who in 0usize..3,
        refusal in 0u64..300,
        outage in 0u64..300,
        writes in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASKS), 1..8),
        polls in proptest::collection::vec((0u64..300, 0usize..3, 0usize..TASKS), 0..8),
        reads in proptest::collection::vec((0u64..300, 0u64..120, 0usize..3), 0..8),
        words in proptest::collection::vec((0u64..300, 0u64..60, 0usize..3, 0usize..3), 0..8),
        end in (0u64..1200, 0usize..3),
    ) {
        let mut w = World::new(false);
        w.round();
        let mut events: Vec<(u64, u8, usize, usize)> = vec![(refusal, 0, who, 0), (outage, 1, 0, 0)];
        events.extend(writes.iter().map(|(t, n, k)| (*t, 2, *n, *k)));
        events.extend(polls.iter().map(|(t, n, k)| (*t, 3, *n, *k)));
        for (t, span, n) in &reads {
            events.extend([(*t, 4, *n, 0), (t + span, 5, *n, 0)]);
        }
        for (t, span, n, to) in words.iter().filter(|x| x.2 != x.3) {
            events.extend([(*t, 6, *n, *to), (t + span, 7, *n, 0)]);
        }
        if end.0 < 400 {
            events.push((end.0, 8, end.1, 0));
        }
        events.extend((0..30).map(|k| (k * 10 + 3, 9, 0, 0)));
        events.sort_unstable();
        let mut at = 0;
        for (t, what, n, k) in events {
            w.pass((t - at) * SECOND / 100);
            at = t;
            match what {
                0 => w.nodes[n].refused = true,
                1 => w.outage = true,
                2 => w.cancel(n, k),
                3 => w.ask_state(n, k),
                4 => w.begin_read(n),
                5 => w.end_read(n),
                6 => w.ask(n, k),
                7 => {
                    w.give_word(n, 0);
                    w.hear_word(n, 0);
                }
                8 => w.end(n),
                _ => (0..TASKS).for_each(|k| w.report(k)),
            }
        }
        (0..110).for_each(|_| w.round());
        for (k, t) in w.tasks.iter().enumerate() {
            prop_assert!(w.told[k].is_none() || t.gone, "{} goes on", name(k));
        }
    }
}

/// The meeting itself: refused alone, another confirms, then an outage for all that lasts longer than
/// `CANCEL`. An owner that took that for an outage in which nobody can have cancelled anything kept the
/// tasks alive for as long as it lasted.
#[test]
fn refused_alone_and_then_an_outage_for_all() {
    for gap in [0, 2, 5, 20] {
        let mut w = World::new(false);
        w.nodes[0].refused = true;
        (0..gap).for_each(|_| w.round());
        // Another confirms a part of them; a third hears of some by a read, of others by nobody.
        for task in 0..6 {
            w.cancel(1, task);
        }
        w.begin_read(2);
        w.end_read(2);
        w.cancel(1, 6);
        w.outage = true;
        (0..110).for_each(|_| w.round());
        for (k, t) in w.tasks.iter().enumerate() {
            assert_eq!(t.gone, k < 7, "task {k}, refused for {gap} s before");
        }
    }
}

/// What keeps the rule costs nothing in an outage that all share, however long, while all controllers
/// answer each other; and a cancellation of the last moment before it, which its owner did not read, is
/// carried out in it.
#[test]
fn an_outage_for_all_ends_no_task() {
    let mut w = World::new(false);
    w.cancel(1, 0);
    w.outage = true;
    (0..600).for_each(|_| w.round());
    assert!(w.tasks[0].gone);
    assert!(w.tasks[1..].iter().all(|t| !t.gone));
    assert!(w.kept > 10_000);
}

/// One that was asked without the state service confirms nothing for a while, so the life that follows at
/// once vouches for it, and an outage in which a controller ends costs no task of the others.
#[test]
fn a_life_that_begins_while_the_one_before_was_bound_vouches_for_it() {
    let mut w = World::new(false);
    w.cancel(1, 0);
    w.outage = true;
    (0..10).for_each(|_| w.round());
    w.end(1);
    w.cancel(1, 3);
    (0..300).for_each(|_| w.round());
    let others = w.tasks.iter().enumerate().filter(|(k, _)| k % 3 != 1);
    others.for_each(|(k, t)| assert_eq!(t.gone, k == 0, "task {k}"));
}

/// Without such a promise one that is back in an outage cannot tell what its earlier life confirmed: nobody
/// may count on it, and tasks end by their leases. Here the rule costs kept work.
#[test]
fn a_life_that_read_nothing_vouches_for_nothing() {
    let mut w = World::new(false);
    w.cancel(1, 0);
    w.outage = true;
    w.end(1);
    (0..110).for_each(|_| w.round());
    assert!(w.tasks.iter().all(|t| t.gone));
}

/// The promise holds also when the service is back for the one who gave it, and for that long only.
#[test]
fn who_is_bound_confirms_nothing_when_the_service_is_back() {
    let mut w = World::new(false);
    w.outage = true;
    (0..10).for_each(|_| w.round());
    (w.nodes[0].refused, w.nodes[2].refused) = (true, true);
    w.outage = false;
    w.cancel(1, 0);
    assert_eq!(w.told[0], None);
    let span = CONFIRMATION_HOLD / SECOND + 1;
    (0..span).for_each(|_| w.round());
    w.cancel(1, 0);
    assert_eq!(w.told[0], Some(w.now));
    (0..110).for_each(|_| w.round());
}

/// A word counts only if it is whole, fits the question and comes from a controller that is without the
/// state service as well; what it names is acted on in any case, if it fits.
#[test]
fn what_a_word_has_to_be() {
    let mut view = ClusterState::default();
    let mut store = Store::default();
    store.put(keys::PRIORITY_BOOSTS.into(), &1);
    for k in 0..3 {
        let mut s = spec(JobKind::Array, 1);
        s.cancelled = true;
        let job = JobRecord(s, TaskBlock(vec![TaskState::Waiting(0)]));
        store.put(keys::job(&name(k)), &job);
    }
    for (rev, k, v) in &store.log {
        view.put(k, v.as_ref().expect("put"), *rev);
    }
    let say = |after, most, loaded, state_ok, asker_ok| {
        let speaker = DigestSource {
            view: &view,
            loaded,
            state_ok,
            age: SECOND,
            most,
        };
        let question = PeerHeartbeat {
            revision: after,
            state_service_reachable: asker_ok,
            ..PeerHeartbeat::default()
        };
        cancellation_digest(&speaker, &question)
    };
    let hello = |word: CancellationDigest| PeerHeartbeat {
        node: "b".into(),
        digest: Some(word),
        ..PeerHeartbeat::default()
    };
    let heard = |h: &PeerHeartbeat, after| {
        let mut w = CancellationWatermarks::default();
        let n = w.take("b", (20 * SECOND, 21 * SECOND), after, h).len();
        (
            n,
            w.cancellation_watermark(0, ["b"].into_iter(), 9) / SECOND,
        )
    };
    let plain = |after, most| hello(say(after, most, true, false, true));
    assert_eq!(heard(&plain(1, 9), 1), (3, 20));
    assert_eq!(heard(&plain(3, 9), 3), (1, 20));
    assert_eq!(heard(&plain(4, 9), 4), (0, 20));
    assert_eq!(heard(&plain(1, 2), 1), (2, 0), "cut");
    assert_eq!(heard(&plain(2, 9), 1), (0, 0), "of another question");
    let changed = |f: &dyn Fn(&mut PeerHeartbeat)| {
        let mut h = plain(1, 9);
        f(&mut h);
        heard(&h, 1)
    };
    let none = (0, 0);
    assert_eq!(changed(&|h| h.node = "c".into()), none, "somebody else");
    assert_eq!(changed(&|h| h.digest = None), none, "the version before");
    assert_eq!(changed(&|h| h.state_service_reachable = true), (3, 0));
    let odd = |id: &str, stamp| {
        let entry = (id.to_string(), stamp);
        changed(&|h| {
            let w = h.digest.as_mut().expect("word");
            w.cancelled.push(entry.clone());
        })
    };
    assert_eq!(odd("req-000009", 1), none, "not after what was asked about");
    assert_eq!(odd("../final", 9), none, "no id");
    // Promises: among those without the service only, and none longer than we would give.
    let promise = |most, state_ok, asker_ok| say(2, most, true, state_ok, asker_ok).hold;
    assert_eq!(promise(9, false, false), CONFIRMATION_HOLD);
    assert_eq!(promise(9, true, false), 0);
    assert_eq!(promise(9, false, true), 0, "it needs none");
    assert_eq!(promise(1, false, false), 0, "cut");
    let before = say(0, 9, true, false, false);
    assert_eq!((before.hold, before.cancelled.len()), (0, 0));
    assert_eq!(heard(&hello(before), 0), none, "it asks about nothing");
    let mut long = say(2, 9, true, false, false);
    assert_eq!(heard(&hello(long.clone()), 2), (2, 31));
    long.hold = 1000 * CONFIRMATION_HOLD;
    assert_eq!(heard(&hello(long), 2), (2, 31));
    // A life that read nothing says how old it is, and counts only if it began within a promise.
    let young = say(1, 9, false, false, false);
    assert_eq!(
        (young.cancelled.len(), young.process_age),
        (0, Some(SECOND))
    );
    assert_eq!(heard(&hello(young.clone()), 1), none);
    let mut ancient = young.clone();
    ancient.process_age = Some(u64::MAX);
    assert_eq!(heard(&hello(ancient), 1), none);
    let after_promise = |at: Micros| {
        let mut w = CancellationWatermarks::default();
        let first = hello(say(1, 9, true, false, false));
        w.take("b", (20 * SECOND, 21 * SECOND), 1, &first);
        w.take("b", (at, at), 1, &hello(young.clone()));
        w.cancellation_watermark(0, ["b"].into_iter(), 9) / SECOND
    };
    assert_eq!(after_promise(32 * SECOND), 43);
    assert_eq!(after_promise(34 * SECOND), 31, "it began too late");
}

/// A view that let go of old cancellations says so.
#[test]
fn a_list_that_was_shortened_vouches_only_for_what_it_still_holds() {
    let mut v = ClusterState::default();
    let mut s = spec(JobKind::Array, 1);
    s.cancelled = true;
    let job = JobRecord(s, TaskBlock(vec![TaskState::Waiting(0)]));
    let value = coppergw::wire::to_value(&job);
    for k in 1..=20_005u64 {
        v.put(&keys::job(&format!("req-{k:06}")), &value, k);
    }
    let whole = |rev| {
        let speaker = DigestSource {
            view: &v,
            loaded: true,
            state_ok: false,
            age: SECOND,
            most: 100_000,
        };
        let question = PeerHeartbeat {
            revision: rev,
            ..PeerHeartbeat::default()
        };
        cancellation_digest(&speaker, &question).complete
    };
    assert!(!whole(0));
    assert!(!whole(4));
    assert!(whole(5));
}

/// What a controller heard of a cancellation it may tell users from then on: it is part of its own word.
#[test]
fn what_was_heard_is_told_further() {
    let mut w = World::new(false);
    w.nodes[0].refused = true;
    w.nodes[2].refused = true;
    w.cancel(1, 0);
    let from = |w: &mut World, n: usize, to: usize| {
        w.ask(n, to);
        w.give_word(n, 0);
        let word = w.nodes[n].asked[0].answer.clone().and_then(|h| h.digest);
        w.hear_word(n, 0);
        word.expect("loaded").cancelled.len()
    };
    assert_eq!(from(&mut w, 2, 0), 0);
    assert_eq!(from(&mut w, 0, 1), 1);
    w.ask_state(0, 0);
    assert!(w.told[0].is_some());
    assert_eq!(from(&mut w, 2, 0), 1);
    common::indexed(&w.nodes[2].view);
    assert!(w.nodes[2].view.jobs["req-000000"].cancelled());
}

/// One that loads its view anew has still spoken in this life, and what it told is in the view meanwhile.
#[test]
fn one_that_loads_its_view_anew_speaks_for_what_it_told() {
    let mut w = World::new(false);
    w.outage = true;
    (0..10).for_each(|_| w.round());
    (w.nodes[0].refused, w.nodes[2].refused) = (true, true);
    w.outage = false;
    (0..CONFIRMATION_HOLD / SECOND + 1).for_each(|_| w.round());
    w.cancel(1, 0);
    assert_eq!(w.told[0], Some(w.now));
    w.outage = true;
    w.nodes[1].loaded = false;
    (0..4).for_each(|_| w.round());
    assert!(w.tasks[0].gone, "it was told at once");
    (0..110).for_each(|_| w.round());
}
