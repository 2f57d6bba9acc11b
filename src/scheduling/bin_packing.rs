//! Bin packing: the candidate machines of one run, ranked by task shape. This module owns the machines'
//! free resources. Many jobs in a backlog have the same shape, so from the second job of a shape on, the
//! ranking is cached and updated incrementally: the cost of a run grows with machines plus allocations,
//! not with jobs times machines.

use super::attempt::PlacementAttempt;
use super::machines::CandidateMachine;
use crate::jobs::model::{JobSpec, Resources};
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeSet;

/// Score of a machine for a task; lower is better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// Sum of the penalties that apply to the machine.
    pub(super) penalty: i64,
    /// Free CPUs in thousandths: best fit prefers the fullest machine.
    free_cpus: i64,
}

/// A machine and its score. Ties are resolved by list order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedMachine {
    pub(super) score: Score,
    /// Index in the list of candidates.
    pub(super) index: usize,
}

/// Job properties that decide which machines are allowed and how they score, except the image and
/// the owner of the job.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TaskShape<'a> {
    /// Resources of one task.
    resources: Resources,
    pub(super) service: bool,
    backfill: bool,
    allow_spot: bool,
    machine_types: Option<&'a Vec<String>>,
    zone: Option<&'a String>,
}

impl<'a> TaskShape<'a> {
    pub(super) fn of(spec: &'a JobSpec) -> TaskShape<'a> {
        TaskShape {
            resources: spec.resources,
            service: spec.kind == JobKind::Service,
            backfill: spec.is_backfill(),
            allow_spot: spec.allow_spot,
            machine_types: spec.machine_types.as_ref(),
            zone: spec.zone.as_ref(),
        }
    }
}

/// The candidate machines of a run.
pub(super) struct CandidateMachines<'a> {
    pub(super) list: Vec<CandidateMachine<'a>>,
    /// Indexes of the machines on which resources were allocated, in order; consecutive duplicates are
    /// stored once.
    allocation_log: Vec<usize>,
    /// Keys of rankings that were requested at least once.
    requested_keys: HashSet<RankingKey<'a>>,
    rankings: HashMap<RankingKey<'a>, Ranking>,
    /// Machines that have an image cached, by image. Covers the machines that had free CPUs when the
    /// first ranking was cached.
    machines_by_image: Option<HashMap<&'a str, HashSet<usize>>>,
}

/// Key of a cached ranking.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RankingKey<'a> {
    shape: TaskShape<'a>,
    /// Whether this controller owns the job.
    owned: bool,
    /// Restricts the ranking to machines that have this image cached; `None` for all machines.
    image: Option<&'a str>,
}

/// Machines ordered by their score for one task shape.
struct Ranking {
    order: BTreeSet<RankedMachine>,
    scores: HashMap<usize, Score>,
    /// Number of applied entries of the allocation log. The last entry is never counted as applied: it
    /// stands for later allocations on the same machine, too.
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

    /// Allocates resources on a machine.
    pub(super) fn allocate(&mut self, index: usize, resources: &Resources) {
        self.list[index].free.subtract(resources);
        if self.allocation_log.last() != Some(&index) {
            self.allocation_log.push(index);
        }
    }

    /// Returns up to `limit` of the best machines for the tasks of an attempt, best first. A machine
    /// stays the best while it is filled, as long as tasks fit: fewer free CPUs score better, and
    /// nothing else in the score gets worse.
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

    /// Returns the best machines by scanning all candidates. Most runs have one job of a shape, for which
    /// caching a ranking costs more than it saves.
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
        // Each machine takes at least one task, so more than `limit` machines are never needed.
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

    /// Merges two rankings of one shape and returns the best machines. The ranking for any image scores
    /// every machine as if it had to fetch the image, so machines that have it are skipped there.
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

    /// Creates a ranking, or applies the allocations since its last update.
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
    /// Moves a machine to the position of its new score, or removes it if there is none.
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

/// Added if a task without GPUs would use a machine with GPUs.
const GPU_MACHINE_PENALTY: i64 = 4;
/// Added while a machine is booting.
const BOOTING_PENALTY: i64 = 8;
/// Added if the image must be fetched first.
const IMAGE_FETCH_PENALTY: i64 = 2;
/// Added for an on-demand machine if the job allows spot machines.
const ON_DEMAND_PENALTY: i64 = 1;
/// Added for a service on another owner's machine.
const OTHER_OWNER_PENALTY: i64 = 1;
/// Added if a small task of an array would start on an empty machine. Small tasks are packed together, so
/// that whole machines stay free for tasks that need one, and empty machines can be released.
const EMPTY_MACHINE_PENALTY: i64 = 3;

/// Scores a machine for a job's tasks, with the image assumed cached or not as given.
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
        && candidate.free.amounts() == candidate.capacity.amounts()
        && candidate.capacity.count_fitting(&spec.resources) > 1
    {
        penalty += EMPTY_MACHINE_PENALTY;
    }
    Score {
        penalty,
        free_cpus: candidate.free.cpus,
    }
}
