//! A cancellation, a question or a repeated submission meets the end of a job's last task, without any other trouble:
//! two controllers, answers that are lost, transactions that are carried out late. No answer goes back on another.

mod common;

use common::{LIMITS, Store, spec};
use coppergw::jobs::commit::{JobChange, accept_submission, cancel, stage};
use coppergw::jobs::model::{FinishedJob, JobId, JobRecord, JobSpec, Placement, TaskState, fresh};
use coppergw::jobs::pipelines::answer;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Status};
use foldhash::{HashMap, HashSet, HashSetExt};
use proptest::prelude::*;

/// Jobs: an array, an array of two blocks, a gang, and one that waits for the first.
const JOBS: [(&str, u32); 4] = [("req-0", 2), ("req-1", 258), ("req-2", 3), ("req-3", 1)];

#[derive(Default)]
struct Controller {
    view: ClusterState,
    seen: usize,
}

struct World {
    store: Store,
    nodes: [Controller; 2],
    late: Vec<Transaction>,
    told: HashMap<&'static str, Status>,
    /// Jobs that their users asked to cancel.
    asked: HashSet<&'static str>,
    /// Tasks that completed, by job.
    ended: HashMap<&'static str, HashSet<u32>>,
}

fn job(k: usize) -> JobSpec {
    let (_, tasks) = JOBS[k];
    let kind = [
        JobKind::Array,
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
    ][k];
    let mut s = spec(kind, tasks);
    if k == 3 {
        s.dependencies.jobs.0 = vec![JOBS[0].0.into()];
    }
    s
}

impl World {
    fn new() -> World {
        let mut w = World {
            store: Store::default(),
            nodes: Default::default(),
            late: Vec::new(),
            told: HashMap::default(),
            asked: HashSet::new(),
            ended: HashMap::default(),
        };
        for (k, (id, tasks)) in JOBS.into_iter().enumerate() {
            let place = |s: &mut TaskState| {
                *s = TaskState::Placed(Placement {
                    attempt: 1,
                    machine: "m-1".into(),
                    session: 1,
                    stop: None,
                });
            };
            let mut first = fresh(tasks, 0);
            let mut second = fresh(tasks, 1);
            if k != 3 {
                first.0.iter_mut().for_each(place);
                second.0.iter_mut().for_each(place);
            }
            w.store.put(keys::job(id), &JobRecord(job(k), first));
            if !second.0.is_empty() {
                w.store.put(keys::block(id, 1), &second);
            }
        }
        (0..2).for_each(|n| w.sync(n));
        w
    }

    /// A read that begins now.
    fn sync(&mut self, n: usize) {
        let c = &mut self.nodes[n];
        for (rev, k, v) in &self.store.log[c.seen..] {
            match v {
                Some(v) => c.view.put(k, v, *rev),
                None => c.view.delete(k, *rev),
            }
        }
        c.seen = self.store.log.len();
        c.view.revision = self.store.rev;
    }

    /// Whether it was carried out and answered; what was written is in the view then.
    fn write(&mut self, n: usize, t: Transaction, fate: u8) -> bool {
        match fate % 6 {
            0 => self.late.push(t),
            1 => {
                self.store.apply(&t);
            }
            2 => {
                // It is carried out, and once more.
                self.store.apply(&t);
                self.late.push(t);
            }
            _ => {
                if self.store.apply(&t) {
                    let rev = self.store.rev;
                    for c in &t.mutations {
                        match c {
                            Mutation::Put {
                                key: put, value: v, ..
                            } => self.nodes[n].view.put(put, v, rev),
                            Mutation::Delete { key: remove } => {
                                self.nodes[n].view.delete(remove, rev);
                            }
                        }
                    }
                    return true;
                }
            }
        }
        false
    }

    fn over(&self, n: usize, id: &str) -> Option<Status> {
        let a = answer(&self.nodes[n].view, id)?;
        matches!(a.status, Status::Done | Status::Cancelled).then_some(a.status)
    }

    /// What a user hears.
    fn tell(&mut self, k: usize, status: Status) {
        let (id, tasks) = JOBS[k];
        let all = self.ended.get(id).map_or(0, HashSet::len) == tasks as usize;
        assert!(status != Status::Done || all, "not_done: {id}");
        let asked = self.asked.contains(id) || (k == 3 && self.asked.contains(JOBS[0].0));
        assert!(
            status != Status::Cancelled || asked,
            "{id}: nobody asked for that"
        );
        let before = self.told.get(id).copied();
        let over = before.filter(|s| matches!(s, Status::Done | Status::Cancelled));
        assert!(
            over.is_none_or(|s| s == status),
            "went_back: {id} was {before:?}, is {status:?}"
        );
        self.told.insert(id, status);
    }

    /// It starts anew: final states are not loaded at the start.
    fn anew(&mut self, n: usize) {
        let mut view = ClusterState::default();
        for (k, (v, stamp)) in &self.store.keys {
            if !JOBS.iter().any(|(id, _)| *k == keys::finished_job(id)) {
                view.put(k, v, *stamp);
            }
        }
        view.revision = self.store.rev;
        let seen = self.store.log.len();
        self.nodes[n] = Controller { view, seen };
    }

    /// Asks the state service how a job ended, and all that it needs.
    fn read_final(&mut self, n: usize, id: &str) {
        let mut ids: Vec<JobId> = self.nodes[n].view.unknown_ancestors(id);
        ids.push(id.into());
        for id in ids {
            if let Some((v, stamp)) = self.store.keys.get(&keys::finished_job(&id)) {
                self.nodes[n].view.put(&keys::finished_job(&id), v, *stamp);
            }
        }
    }

    /// A question: final states from memory, anything else after a read that begins now.
    fn ask(&mut self, n: usize, k: usize) -> Status {
        let id = JOBS[k].0;
        if self.over(n, id).is_none() {
            self.read_final(n, id);
            self.sync(n);
            self.read_final(n, id);
        }
        let a = answer(&self.nodes[n].view, id);
        let status = a.expect("forgotten: 404").status;
        self.tell(k, status);
        status
    }

    fn cancel(&mut self, n: usize, k: usize, fate: u8) {
        self.asked.insert(JOBS[k].0);
        let status = self.ask(n, k);
        if matches!(status, Status::Done | Status::Cancelled) {
            return;
        }
        let id: JobId = JOBS[k].0.into();
        if let Some(t) = cancel(&self.nodes[n].view, &id, LIMITS)
            && self.write(n, t, fate)
        {
            self.ask(n, k);
        }
    }

    /// The same submission once more.
    fn repeat(&mut self, n: usize, k: usize, fate: u8) {
        let id = JOBS[k].0;
        if answer(&self.nodes[n].view, id).is_some() {
            self.ask(n, k);
            return;
        }
        let steps = accept_submission(&self.nodes[n].view, id, job(k), LIMITS).expect("it fits");
        for t in steps {
            assert!(!self.write(n, t, fate), "{id} is accepted twice");
        }
        self.ask(n, k);
    }

    /// The owner of the machine records exits, or that what was cancelled has left; anyone writes ends.
    fn record(&mut self, n: usize, k: usize, count: usize, fate: u8) {
        let id: JobId = JOBS[k].0.into();
        let Some(j) = self.nodes[n].view.jobs.get(&id) else {
            return;
        };
        let done = self.ended.get(JOBS[k].0);
        let cancelled = j.cancelled();
        let known = |i: &u32| done.is_some_and(|d| d.contains(i));
        let mut list: Vec<JobChange> = Vec::new();
        for (index, p) in j
            .placements()
            .filter(|(i, _)| cancelled || known(i))
            .take(count)
        {
            list.push(JobChange::AttemptEnded {
                job: id.clone(),
                index,
                attempt: p.attempt,
                done: known(&index),
            });
        }
        list.push(JobChange::Finalize { job: id });
        for s in stage(
            &self.nodes[n].view,
            &list,
            &HashSet::new(),
            &|_| false,
            LIMITS,
        ) {
            self.write(n, s.transaction, fate);
        }
    }

    /// Tasks complete; those of a gang together. The last one starts once the first job is done.
    fn complete(&mut self, k: usize, count: u32) {
        let (id, tasks) = JOBS[k];
        let started = k != 3 || self.told.get(JOBS[0].0) == Some(&Status::Done);
        let d = self.ended.entry(id).or_default();
        let n = if k == 2 { tasks } else { count };
        let first = d.len() as u32;
        if started {
            d.extend(first..(first + n).min(tasks));
        }
    }

    /// Its only task runs and is placed, if it may.
    fn start(&mut self, n: usize) {
        self.sync(n);
        let place = JobChange::Place {
            job: JOBS[3].0.into(),
            tasks: vec![(0, "m-1".into(), 1)],
        };
        for s in stage(
            &self.nodes[n].view,
            &[place],
            &HashSet::new(),
            &|_| false,
            LIMITS,
        ) {
            self.store.apply(&s.transaction);
        }
    }

    fn step(&mut self, op: u8, a: u8, fate: u8) {
        let (n, k) = (a as usize % 2, a as usize / 2 % 4);
        match op % 16 {
            0 | 1 => self.sync(n),
            2 => self.complete(k, 1 + u32::from(fate)),
            3..=6 => self.record(n, k, 1 + usize::from(fate) * 2, fate),
            7 => self.cancel(n, k, fate),
            8..=10 => {
                self.ask(n, k);
            }
            11 | 12 => self.repeat(n, k, fate),
            13 if fate >= 200 => self.anew(n),
            13 => self.start(n),
            _ if !self.late.is_empty() => {
                let t = self.late.remove(fate as usize % self.late.len());
                self.store.apply(&t);
            }
            _ => {}
        }
        // The last job starts after the durable end of what it needs, or never.
        let first = self.store.keys.get(&keys::finished_job(JOBS[0].0));
        let done = first.map(|(v, _)| v.deserialized::<FinishedJob>().expect("final"));
        let placed = |n: &Controller| n.view.jobs.get(JOBS[3].0).is_some_and(|j| j.placed > 0);
        let may = done.is_some_and(|f| !f.cancelled);
        assert!(may || !self.nodes.iter().any(placed), "too_early");
        for (id, _) in JOBS {
            let job = self.store.keys.contains_key(&keys::job(id));
            let finished_job = self.store.keys.get(&keys::finished_job(id));
            assert!(
                job != finished_job.is_some(),
                "{id}: over and not, or neither"
            );
            if let Some((v, _)) = finished_job {
                let f: FinishedJob = v.deserialized().expect("final");
                let status = self.told.get(id);
                let want = if f.cancelled {
                    Status::Done
                } else {
                    Status::Cancelled
                };
                assert!(status != Some(&want), "went_back: {id}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(40), ..ProptestConfig::default() })]

    #[test]
    fn no_answer_goes_back_at_a_jobs_end(steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 20..200)) {
        let mut w = World::new();
        for (op, a, fate) in steps {
            w.step(op, a, fate);
        }
        // Whoever asks in the end hears of a final state that both give, once it is written.
        let late: Vec<Transaction> = std::mem::take(&mut w.late);
        for t in &late {
            w.store.apply(t);
        }
        for k in 0..JOBS.len() {
            prop_assert_eq!(w.ask(0, k), w.ask(1, k));
        }
    }
}

/// The last task has completed and its block says so; the job's end is not written, and nobody was told. A withdrawal
/// that was made before arrives now: the job is cancelled, and nobody ever heard anything else.
#[test]
fn a_withdrawal_between_the_last_exit_and_the_end() {
    let mut w = World::new();
    w.complete(1, 300);
    w.cancel(1, 1, 0);
    assert_eq!(w.late.len(), 1, "under way");
    w.record(0, 1, 300, 3);
    w.record(0, 1, 300, 3);
    while let Some(t) = w.late.pop() {
        w.store.apply(&t);
    }
    let (a, b) = (w.ask(0, 1), w.ask(1, 1));
    assert_eq!(a, b);
    (0..2).for_each(|n| w.record(n, 1, 300, 3));
    assert_eq!(w.ask(0, 1), a);
}

/// Its record is gone when the withdrawal arrives: `done` it was, and `done` it stays.
#[test]
fn a_withdrawal_after_the_end_changes_nothing() {
    let mut w = World::new();
    w.complete(0, 2);
    w.cancel(1, 0, 0);
    for _ in 0..2 {
        w.record(0, 0, 9, 3);
    }
    assert_eq!(w.ask(0, 0), Status::Done);
    while let Some(t) = w.late.pop() {
        assert!(!w.store.apply(&t), "its record has changed");
    }
    w.cancel(1, 0, 3);
    assert_eq!(w.told["req-0"], Status::Done);
    w.repeat(1, 0, 3);
    assert!(!w.store.keys.contains_key(&keys::job("req-0")));
}
