//! Bin packing: the candidate machines of one run, ranked for task shapes. It owns the machines' free
//! resources. Many jobs of a backlog ask for the same, so from the second job of a shape on the order of
//! the machines is kept and follows what is taken: a run costs machines and what it takes of them, not
//! jobs times machines.

use super::attempt::PlacementAttempt;
use super::machines::CandidateMachine;
use crate::jobs::model::{JobSpec, Resources};
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeSet;

/// How well a machine suits a task; smaller is better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// Sum of what speaks against the machine.
    pub(super) penalty: i64,
    /// Best fit: the fullest machine first.
    free_cpus: i64,
}

/// A machine and its score. Of equal ones the first in the list is better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedMachine {
    pub(super) score: Score,
    /// Place in the list of candidates.
    pub(super) index: usize,
}

/// What two jobs must share for a machine to suit either as well.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TaskShape<'a> {
    /// CPUs, GPUs, memory.
    resources: [i64; 3],
    pub(super) service: bool,
    backfill: bool,
    allow_spot: bool,
    machine_types: Option<&'a Vec<String>>,
    zone: Option<&'a String>,
}

impl<'a> TaskShape<'a> {
    pub(super) fn of(spec: &'a JobSpec) -> TaskShape<'a> {
        let resources = &spec.resources;
        TaskShape {
            resources: [resources.cpus, resources.gpus, resources.memory],
            service: spec.kind == JobKind::Service,
            backfill: spec.backfill(),
            allow_spot: spec.allow_spot,
            machine_types: spec.machine_types.as_ref(),
            zone: spec.zone.as_ref(),
        }
    }
}

/// The candidate machines of a run.
pub(super) struct CandidateMachines<'a> {
    pub(super) list: Vec<CandidateMachine<'a>>,
    /// Machines of which something was taken, in that order, not repeated where equal to the last.
    allocation_log: Vec<usize>,
    /// Rankings that were asked for at least once.
    requested_keys: HashSet<RankingKey<'a>>,
    rankings: HashMap<RankingKey<'a>, Ranking>,
    /// By image: machines that have cached it, of those with free CPUs when a ranking was first kept.
    machines_by_image: Option<HashMap<&'a str, HashSet<usize>>>,
}

/// What a ranking is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RankingKey<'a> {
    shape: TaskShape<'a>,
    /// Whether the scheduling controller owns the job.
    owned: bool,
    /// Rank only machines that have this image.
    image: Option<&'a str>,
}

/// Machines in their order for one task shape.
struct Ranking {
    order: BTreeSet<RankedMachine>,
    scores: HashMap<usize, Score>,
    /// How much of the log it has applied. Not its last machine, of which more may be taken since.
    applied_entries: usize,
}

impl<'a> CandidateMachines<'a> {
    pub(super) fn new(list: Vec<CandidateMachine<'a>>) -> CandidateMachines<'a> {
        CandidateMachines {
            list,
            allocation_log: Vec::new(),
            requested_keys: HashSet::default(),
            rankings: HashMap::default(),
            machines_by_image: None,
        }
    }

    /// Takes resources of a machine.
    pub(super) fn allocate(&mut self, index: usize, resources: &Resources) {
        self.list[index].free.subtract(resources);
        if self.allocation_log.last() != Some(&index) {
            self.allocation_log.push(index);
        }
    }

    /// The best machines for the tasks of an attempt, at most `limit`, best first. Filling the best one
    /// keeps it the best while tasks fit: less free is better, and nothing else in the score gets worse.
    pub(super) fn best_machines(
        &mut self,
        shape: TaskShape<'a>,
        attempt: &PlacementAttempt<'a>,
        limit: usize,
    ) -> Vec<RankedMachine> {
        let any_image = RankingKey {
            shape,
            owned: attempt.owned,
            image: None,
        };
        if self.requested_keys.insert(any_image) {
            return self.best_by_full_scan(attempt, limit);
        }
        let cached_image = RankingKey {
            image: Some(&attempt.spec.image),
            ..any_image
        };
        self.index_images();
        self.update_ranking(any_image, attempt);
        self.update_ranking(cached_image, attempt);
        self.merge_rankings(&any_image, &cached_image, limit)
    }

    /// The best machines by one look at all: most runs have one job of a shape, for which a ranking that
    /// is kept would not pay.
    fn best_by_full_scan(
        &self,
        attempt: &PlacementAttempt<'a>,
        limit: usize,
    ) -> Vec<RankedMachine> {
        let candidates = self.list.iter().enumerate();
        let mut ranked: Vec<RankedMachine> = candidates
            .filter_map(|(index, candidate)| {
                let image_cached = candidate.has_image(attempt.spec);
                let score = attempt.score(candidate, image_cached)?;
                Some(RankedMachine { score, index })
            })
            .collect();
        // Each machine takes one task at least, so that more than `limit` are never needed.
        if limit > 0 && limit < ranked.len() {
            ranked.select_nth_unstable(limit - 1);
            ranked.truncate(limit);
        }
        ranked.sort_unstable();
        ranked
    }

    fn index_images(&mut self) {
        if self.machines_by_image.is_some() {
            return;
        }
        let mut by_image: HashMap<&'a str, HashSet<usize>> = HashMap::default();
        let candidates = self.list.iter().enumerate();
        for (index, candidate) in candidates.filter(|(_, c)| c.free.cpus > 0) {
            for image in candidate.images.into_iter().flatten() {
                by_image.entry(image).or_default().insert(index);
            }
        }
        self.machines_by_image = Some(by_image);
    }

    /// The first machines of two rankings of one shape. The ranking for any image scores all machines as
    /// if they had to fetch it: there those that have it are skipped.
    fn merge_rankings(
        &self,
        any_image: &RankingKey<'a>,
        cached_image: &RankingKey<'a>,
        limit: usize,
    ) -> Vec<RankedMachine> {
        let (Some(all), Some(cached)) = (
            self.rankings.get(any_image),
            self.rankings.get(cached_image),
        ) else {
            return Vec::new();
        };
        let has_image = self.machines_with_image(cached_image.image);
        let mut uncached = all
            .order
            .iter()
            .filter(|ranked| has_image.is_none_or(|set| !set.contains(&ranked.index)))
            .copied()
            .peekable();
        let mut cached = cached.order.iter().copied().peekable();
        let mut best = Vec::new();
        while best.len() < limit {
            let next = match (cached.peek(), uncached.peek()) {
                (Some(with), Some(without)) if with < without => cached.next(),
                (_, Some(_)) => uncached.next(),
                (_, None) => cached.next(),
            };
            let Some(next) = next else { break };
            best.push(next);
        }
        best
    }

    fn machines_with_image(&self, image: Option<&str>) -> Option<&HashSet<usize>> {
        self.machines_by_image.as_ref()?.get(image?)
    }

    /// Makes a ranking, or applies to it what was taken since.
    fn update_ranking(&mut self, key: RankingKey<'a>, attempt: &PlacementAttempt<'a>) {
        if !self.rankings.contains_key(&key) {
            let ranking = self.new_ranking(&key, attempt);
            self.rankings.insert(key, ranking);
            return;
        }
        let machines_by_image = self.machines_by_image.as_ref();
        let has_image = key.image.and_then(|image| machines_by_image?.get(image));
        let Some(ranking) = self.rankings.get_mut(&key) else {
            return;
        };
        for index in &self.allocation_log[ranking.applied_entries..] {
            if key.image.is_some() && !has_image.is_some_and(|set| set.contains(index)) {
                continue;
            }
            let score = attempt.score(&self.list[*index], key.image.is_some());
            ranking.set_score(*index, score);
        }
        ranking.applied_entries = self.allocation_log.len().saturating_sub(1);
    }

    fn new_ranking(&self, key: &RankingKey<'a>, attempt: &PlacementAttempt<'a>) -> Ranking {
        let ranked = |index: usize| {
            let score = attempt.score(&self.list[index], key.image.is_some())?;
            Some(RankedMachine { score, index })
        };
        let machines: Vec<RankedMachine> = match key.image {
            None => (0..self.list.len()).filter_map(ranked).collect(),
            image => {
                let indexes = self.machines_with_image(image).into_iter().flatten();
                indexes.filter_map(|index| ranked(*index)).collect()
            }
        };
        Ranking {
            scores: machines.iter().map(|m| (m.index, m.score)).collect(),
            order: machines.into_iter().collect(),
            applied_entries: self.allocation_log.len().saturating_sub(1),
        }
    }
}

impl Ranking {
    /// Moves a machine to its new place; without a score it is removed.
    fn set_score(&mut self, index: usize, score: Option<Score>) {
        if let Some(score) = self.scores.remove(&index) {
            self.order.remove(&RankedMachine { score, index });
        }
        if let Some(score) = score {
            self.scores.insert(index, score);
            self.order.insert(RankedMachine { score, index });
        }
    }
}

/// Added where a task without GPUs would use a machine with GPUs.
const GPU_MACHINE_PENALTY: i64 = 4;
/// Added while a machine still boots.
const BOOTING_PENALTY: i64 = 8;
/// Added where the image has to be fetched first.
const IMAGE_FETCH_PENALTY: i64 = 2;
/// Added for an ordinary machine where a spot machine would do.
const ON_DEMAND_PENALTY: i64 = 1;
/// Added for a service on another owner's machine.
const OTHER_OWNER_PENALTY: i64 = 1;
/// Added where an array's small task would break into an empty machine: small tasks are drawn together, so
/// that whole machines stay for those that need one, and empty ones can be released.
const EMPTY_MACHINE_PENALTY: i64 = 3;

/// Scores a machine for a job's tasks, as if it had the image cached or not.
pub(super) fn score(spec: &JobSpec, candidate: &CandidateMachine<'_>, image_cached: bool) -> Score {
    let mut penalty = 0;
    if candidate.capacity.gpus > 0 && spec.resources.gpus == 0 {
        penalty += GPU_MACHINE_PENALTY;
    }
    if candidate.booting {
        penalty += BOOTING_PENALTY;
    }
    if !image_cached {
        penalty += IMAGE_FETCH_PENALTY;
    }
    if spec.allow_spot && !candidate.machine.spot {
        penalty += ON_DEMAND_PENALTY;
    }
    if spec.kind == JobKind::Service && !candidate.owned {
        penalty += OTHER_OWNER_PENALTY;
    }
    if spec.kind == JobKind::Array
        && candidate.free == candidate.capacity
        && candidate.capacity.count_fitting(&spec.resources) > 1
    {
        penalty += EMPTY_MACHINE_PENALTY;
    }
    Score {
        penalty,
        free_cpus: candidate.free.cpus,
    }
}
