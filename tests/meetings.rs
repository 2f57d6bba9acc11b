//! Where two troubles meet. The state service refuses one controller, then everybody, while others confirm
//! cancellations, answers come late, and controllers end: every task of a cancelled job is gone in time.

mod common;

use common::{LIMITS, Store, spec};
use coppergw::jobs::commit::withdraw;
use coppergw::jobs::model::{Block, Placement, Record, Slot};
use coppergw::jobs::pipelines::answer;
use coppergw::members::word::{Words, word};
use coppergw::store::keys;
use coppergw::store::view::View;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::Hello;
use coppergw::wire::user::{Shape, Status};
use coppergw::workers::may_answer;
use proptest::prelude::*;

const NAMES: [&str; 3] = ["a", "b", "c"];
const LEASE: Micros = 26 * SECOND;
const CANCEL: Micros = 52 * SECOND;
/// Tasks, each of a job of its own; the owner of the machine of task k is controller k modulo 3.
const TASKS: usize = 24;

/// A read of the state service that is under way: when it began, and what it found.
type Read = (Micros, u64, usize);

struct Controller {
    view: View,
    /// How much of the log is in the view.
    seen: usize,
    loaded: bool,
    whole_at: Micros,
    words: Words,
    /// Whether the state service refuses it alone.
    refused: bool,
    read: Option<Read>,
    /// Questions under way: to whom, when asked, about which revision, and the answer once it was given.
    asked: Vec<(usize, Micros, u64, Option<Hello>)>,
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

fn process() -> Controller {
    Controller {
        view: View::default(),
        seen: 0,
        loaded: false,
        whole_at: 0,
        words: Words::default(),
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
                host: format!("m-{k}").as_str().into(),
                session: 1,
                stop: None,
            };
            let job = Record(spec(Shape::Array, 1), Block(vec![Slot::Placed(p)]));
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
            nodes: (0..3).map(|_| process()).collect(),
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
        p.view.rev = p.view.rev.max(rev);
        p.loaded = true;
        p.whole_at = p.whole_at.max(begun);
    }

    /// A user withdraws a job; a controller that reaches the state service confirms it at once.
    fn withdraw(&mut self, n: usize, task: usize) {
        if !self.reaches(n) || !self.nodes[n].loaded {
            return;
        }
        self.nodes[n].read = None;
        self.begin_read(n);
        self.end_read(n);
        let t = withdraw(&self.nodes[n].view, &name(task).as_str().into(), LIMITS);
        let t = t.expect("the job is there");
        assert!(self.store.apply(&t), "nobody else writes");
        let rev = self.store.rev;
        for c in &t.then {
            if let coppergw::wire::state::Change::Put { put, v, .. } = c {
                self.nodes[n].view.put(put, v, rev);
            }
        }
        self.ask_state(n, task);
    }

    /// A user asks how a job is: `cancelled` may come from memory.
    fn ask_state(&mut self, n: usize, task: usize) {
        let a = answer(&self.nodes[n].view, &name(task));
        if a.is_some_and(|a| a.status == Status::Cancelled) {
            self.told[task].get_or_insert(self.now);
        }
    }

    fn ask(&mut self, n: usize, to: usize) {
        let question = (to, self.now, self.nodes[n].view.rev, None);
        self.nodes[n].asked.push(question);
    }

    /// Whoever runs under that name now answers a question that arrives.
    fn give_word(&mut self, n: usize, nth: usize) {
        let most = if self.short { 1 } else { 100 };
        let len = self.nodes[n].asked.len().max(1);
        let Some((to, _, after, None)) = self.nodes[n].asked.get(nth % len).cloned() else {
            return;
        };
        let p = &self.nodes[to];
        let hello = Hello {
            node: NAMES[to].into(),
            state_ok: self.reaches(to),
            rev: p.view.rev,
            word: word(&p.view, p.loaded, after, most),
            ..Hello::default()
        };
        self.nodes[n].asked[nth % len].3 = Some(hello);
    }

    fn hear_word(&mut self, n: usize, nth: usize) {
        let p = &mut self.nodes[n];
        let len = p.asked.len().max(1);
        if p.asked.get(nth % len).is_none_or(|q| q.3.is_none()) {
            return;
        }
        let (to, asked, after, hello) = p.asked.remove(nth % len);
        let hello = hello.expect("answered");
        for (id, stamp) in p.words.take(NAMES[to], asked, after, &hello) {
            p.view.hear_withdrawn(id, *stamp);
        }
    }

    /// A worker reports to the owner of its machine.
    fn report(&mut self, task: usize) {
        let (t, p) = (&mut self.tasks[task], &self.nodes[task % 3]);
        if t.gone || !p.loaded {
            return;
        }
        let siblings = (0..3).filter(|s| *s != task % 3).map(|s| NAMES[s]);
        let informed = p.words.informed(p.whole_at, siblings, self.now);
        if !may_answer(LEASE, CANCEL, informed, self.now) {
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
            2 if a.is_multiple_of(8) => self.nodes[n] = process(),
            3..=5 => self.begin_read(n),
            6..=8 => self.end_read(n),
            9 => self.withdraw(n, task),
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
            w.withdraw(1, task);
        }
        w.begin_read(2);
        w.end_read(2);
        w.withdraw(1, 6);
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
    w.withdraw(1, 0);
    w.outage = true;
    (0..600).for_each(|_| w.round());
    assert!(w.tasks[0].gone);
    assert!(w.tasks[1..].iter().all(|t| !t.gone));
    assert!(w.kept > 10_000);
}

/// One that is back in an outage cannot tell what its earlier life confirmed: nobody may count on it, and
/// tasks end by their leases. Here the rule costs kept work.
#[test]
fn a_life_that_read_nothing_vouches_for_nothing() {
    let mut w = World::new(false);
    w.withdraw(1, 0);
    w.outage = true;
    w.nodes[1] = process();
    (0..110).for_each(|_| w.round());
    assert!(w.tasks.iter().all(|t| t.gone));
}

/// A word counts only if it is whole, fits the question and comes from a controller that is without the
/// state service as well; what it names is acted on in any case, if it fits.
#[test]
fn what_a_word_has_to_be() {
    let mut view = View::default();
    let mut store = Store::default();
    for k in 0..3 {
        let mut s = spec(Shape::Array, 1);
        s.cancelled = true;
        store.put(
            keys::job(&name(k)),
            &Record(s, Block(vec![Slot::Waiting(0)])),
        );
    }
    for (rev, k, v) in &store.log {
        view.put(k, v.as_ref().expect("put"), *rev);
    }
    let hello = |after, most| Hello {
        node: "b".into(),
        word: word(&view, true, after, most),
        ..Hello::default()
    };
    let heard = |h: &Hello, after| {
        let mut w = Words::default();
        let n = w.take("b", SECOND, after, h).len();
        (n, w.informed(0, ["b"].into_iter(), 9) > 0)
    };
    assert_eq!(heard(&hello(0, 9), 0), (3, true));
    assert_eq!(heard(&hello(2, 9), 2), (1, true));
    assert_eq!(heard(&hello(3, 9), 3), (0, true));
    assert_eq!(heard(&hello(0, 2), 0), (2, false), "cut");
    assert_eq!(heard(&hello(1, 9), 0), (0, false), "of another question");
    let changed = |f: &dyn Fn(&mut Hello)| {
        let mut h = hello(0, 9);
        f(&mut h);
        heard(&h, 0)
    };
    let none = (0, false);
    assert_eq!(changed(&|h| h.node = "c".into()), none, "somebody else");
    assert_eq!(changed(&|h| h.word = None), none, "the version before");
    assert_eq!(changed(&|h| h.state_ok = true), (3, false));
    let odd = |id: &str, stamp| {
        let entry = (id.to_string(), stamp);
        changed(&|h| h.word.as_mut().expect("word").withdrawn.push(entry.clone()))
    };
    assert_eq!(odd("req-000009", 0), none, "not after what was asked about");
    assert_eq!(odd("../final", 9), none, "no id");
    assert_eq!(word(&view, false, 0, 9), None);
}

/// A view that let go of old cancellations says so.
#[test]
fn a_list_that_was_shortened_vouches_only_for_what_it_still_holds() {
    let mut v = View::default();
    let mut s = spec(Shape::Array, 1);
    s.cancelled = true;
    let job = Record(s, Block(vec![Slot::Waiting(0)]));
    let value = coppergw::wire::to_value(&job);
    for k in 1..=20_005u64 {
        v.put(&keys::job(&format!("req-{k:06}")), &value, k);
    }
    let whole = |after| word(&v, true, after, 100_000).expect("loaded").whole;
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
    w.withdraw(1, 0);
    let from = |w: &mut World, n: usize, to: usize| {
        w.ask(n, to);
        w.give_word(n, 0);
        let word = w.nodes[n].asked[0].3.clone().and_then(|h| h.word);
        w.hear_word(n, 0);
        word.expect("loaded").withdrawn.len()
    };
    assert_eq!(from(&mut w, 2, 0), 0);
    assert_eq!(from(&mut w, 0, 1), 1);
    w.ask_state(0, 0);
    assert!(w.told[0].is_some());
    assert_eq!(from(&mut w, 2, 0), 1);
    common::indexed(&w.nodes[2].view);
    assert!(w.nodes[2].view.jobs["req-000000"].cancelled());
}
