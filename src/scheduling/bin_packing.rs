//! The machines of one plan, ranked for kinds of tasks. Many jobs of a backlog ask for the same, so the
//! order of the machines is kept from the second such job on and follows what was taken meanwhile: a
//! plan costs machines and what it takes of them, not jobs times machines.

use super::{CandidateMachine, Kind, Run, offer, score, warm};
use crate::jobs::model::Resources;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeSet;

/// Smaller is better; then the machine's place in the list.
pub(super) type Score = (i64, i64);

/// The machines.
pub(super) struct CandidateMachines<'a> {
    pub(super) list: Vec<CandidateMachine<'a>>,
    /// Machines of which something was taken, in that order, one that is the last already not again.
    log: Vec<usize>,
    /// Kinds of tasks that were asked for.
    asked: HashSet<Key<'a>>,
    ranked: HashMap<Key<'a>, Ranked>,
    /// By image: machines that have it, of those that had room when it was first asked for one.
    with_image: Option<HashMap<&'a str, HashSet<usize>>>,
}

/// Kind of task, whether the job is the planner's own, and the image if only machines count that have it.
type Key<'a> = (Kind<'a>, bool, Option<&'a str>);

/// Machines in their order for one kind of task.
struct Ranked {
    set: BTreeSet<(Score, usize)>,
    at: HashMap<usize, Score>,
    /// How much of the log it has followed for good: of the last machine there more may be taken since.
    seen: usize,
}

impl<'a> CandidateMachines<'a> {
    pub(super) fn new(list: Vec<CandidateMachine<'a>>) -> CandidateMachines<'a> {
        CandidateMachines {
            list,
            log: Vec::new(),
            asked: HashSet::default(),
            ranked: HashMap::default(),
            with_image: None,
        }
    }

    /// Takes room of a machine.
    pub(super) fn take(&mut self, k: usize, room: &Resources) {
        self.list[k].free.subtract(room);
        if self.log.last() != Some(&k) {
            self.log.push(k);
        }
    }

    /// The best machines with room for a run, at most `n`, best first. Filling the best one keeps it the
    /// best while it has room: less free room is better, and nothing else in the score becomes worse.
    pub(super) fn best(&mut self, kind: Kind<'a>, run: &Run<'a>, n: usize) -> Vec<(Score, usize)> {
        let spec = run.spec;
        let cold = (kind, run.home, None);
        if self.asked.insert(cold) {
            // Most plans hold one job of a kind: not worth an order that is kept.
            let list = self.list.iter().enumerate();
            let mut list: Vec<(Score, usize)> = list
                .filter_map(|(k, sp)| Some((rate(run, sp, warm(spec, sp))?, k)))
                .collect();
            // Each takes one at least.
            if n > 0 && n < list.len() {
                list.select_nth_unstable(n - 1);
                list.truncate(n);
            }
            list.sort_unstable();
            return list;
        }
        let image: &'a str = &spec.image;
        if self.with_image.is_none() {
            let mut by: HashMap<&'a str, HashSet<usize>> = HashMap::default();
            let roomy = self.list.iter().enumerate();
            for (k, sp) in roomy.filter(|(_, sp)| sp.free.cpus > 0) {
                for i in sp.images.into_iter().flatten() {
                    by.entry(i).or_default().insert(k);
                }
            }
            self.with_image = Some(by);
        }
        self.follow(cold, run);
        self.follow((kind, run.home, Some(image)), run);
        let (Some(all), Some(warm)) = (
            self.ranked.get(&cold),
            self.ranked.get(&(kind, run.home, Some(image))),
        ) else {
            return Vec::new();
        };
        let has = self.having(Some(image));
        // Those that have the image stand in the order of all as if they had not: passed over there.
        let mut cold = all
            .set
            .iter()
            .filter(|(_, k)| has.is_none_or(|h| !h.contains(k)))
            .copied()
            .peekable();
        let mut warm = warm.set.iter().copied().peekable();
        let mut out = Vec::new();
        while out.len() < n {
            let next = match (warm.peek(), cold.peek()) {
                (Some(w), Some(c)) if w < c => warm.next(),
                (_, Some(_)) => cold.next(),
                (_, None) => warm.next(),
            };
            let Some(next) = next else { break };
            out.push(next);
        }
        out
    }

    /// Machines that have an image.
    fn having(&self, image: Option<&str>) -> Option<&HashSet<usize>> {
        self.with_image.as_ref()?.get(image?)
    }

    /// Brings the order for a kind of task up to what has been taken.
    fn follow(&mut self, key: Key<'a>, run: &Run<'a>) {
        let of = |sp: &CandidateMachine<'_>| rate(run, sp, key.2.is_some());
        if !self.ranked.contains_key(&key) {
            let one = |k: usize| Some((of(&self.list[k])?, k));
            let all: Vec<(Score, usize)> = match (key.2, self.having(key.2)) {
                (None, _) => (0..self.list.len()).filter_map(one).collect(),
                (_, has) => has.into_iter().flatten().filter_map(|k| one(*k)).collect(),
            };
            let at = all.iter().map(|(s, k)| (*k, *s)).collect();
            let ranked = Ranked {
                set: all.into_iter().collect(),
                at,
                seen: self.log.len().saturating_sub(1),
            };
            self.ranked.insert(key, ranked);
            return;
        }
        let with_image = self.with_image.as_ref();
        let has = key.2.and_then(|i| with_image?.get(i));
        let Some(r) = self.ranked.get_mut(&key) else {
            return;
        };
        for k in &self.log[r.seen..] {
            if key.2.is_some() && !has.is_some_and(|h| h.contains(k)) {
                continue;
            }
            if let Some(s) = r.at.remove(k) {
                r.set.remove(&(s, *k));
            }
            if let Some(s) = of(&self.list[*k]) {
                r.at.insert(*k, s);
                r.set.insert((s, *k));
            }
        }
        r.seen = self.log.len().saturating_sub(1);
    }
}

/// What a machine with room for a run is worth to it.
fn rate(run: &Run<'_>, sp: &CandidateMachine<'_>, warm: bool) -> Option<Score> {
    let fits = run.suits(sp) && offer(run.spec, sp, &run.gpus).fits(&run.spec.resources);
    fits.then(|| score(run.spec, sp, warm))
}
