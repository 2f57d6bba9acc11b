//! Team quotas: what each team uses, is guaranteed and may still start. The ledger belongs to one
//! scheduling run and ends with it; nothing here is stored.

use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::settings::Team;
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobKind, Priority};
use foldhash::HashMap;

/// What a team's tasks take, and would take if all that wait ran too. CPUs and GPUs in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TeamUsage {
    cpus: i64,
    gpus: i64,
    wanted_cpus: i64,
    wanted_gpus: i64,
}

/// What is reserved of a team's limit for work that cannot start yet. Without it small tasks of lower
/// priority take every CPU that is released, and work that needs several at once, or is placed by another
/// controller, never gets them.
#[derive(Clone, Debug, Default)]
struct Reservations {
    /// Waiting tasks of high priority: services as a rule.
    high_priority: Resources,
    /// Starved classes, up to their minimum share.
    minimum_share: Resources,
    gang: Option<GangReservation>,
    /// Gangs have their share: no further one may start.
    gangs_closed: bool,
}

/// What is reserved for one gang.
#[derive(Clone, Debug)]
struct GangReservation {
    id: JobId,
    resources: Resources,
    /// It has waited so long that other gangs wait for it too.
    before_other_gangs: bool,
    /// What will have ended before it starts, and does not count as used for it.
    released_by_then: Resources,
}

/// What a task is to its team's limit: which reservations stand before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict<'a> {
    /// High priority: no reservation stands before it.
    WithinGuarantee,
    /// Within the minimum share of a starved class.
    MinimumShare,
    /// A gang.
    Gang(&'a JobId),
    /// Any other.
    Ordinary,
}

/// Usage and reservations of all teams during a scheduling run: it begins with what is placed, and what
/// the run places counts at once.
pub struct QuotaLedger<'a> {
    teams: &'a [Team],
    usage: HashMap<&'a str, TeamUsage>,
    reservations: HashMap<&'a str, Reservations>,
}

impl<'a> QuotaLedger<'a> {
    /// A ledger with what is placed, and what waits and may start.
    pub fn open(view: &'a ClusterState, teams: &'a [Team]) -> QuotaLedger<'a> {
        let mut usage: HashMap<&str, TeamUsage> = HashMap::default();
        for (team, placed) in &view.indexes().teams {
            let team_usage = usage.entry(team).or_default();
            *team_usage = TeamUsage {
                cpus: placed.cpus,
                gpus: placed.gpus,
                wanted_cpus: placed.cpus,
                wanted_gpus: placed.gpus,
            };
        }
        let mut reservations: HashMap<&str, Reservations> = HashMap::default();
        // Without guarantees and limits what is wanted is never read.
        let has_quota = |t: &Team| t.cpus > 0 || t.gpus > 0 || t.cpus_max > 0 || t.gpus_max > 0;
        let waiting = teams.iter().any(has_quota).then(|| view.waiting());
        // What waits for other jobs takes no part of its team's guarantee or limit.
        for (_, job) in waiting.into_iter().flatten().filter(|(_, job)| job.ready) {
            let per_task = &job.spec.resources;
            let team_usage = usage.entry(&job.spec.team).or_default();
            team_usage.wanted_cpus += per_task.cpus * i64::from(job.waiting);
            team_usage.wanted_gpus += per_task.gpus * i64::from(job.waiting);
            if job.spec.priority <= Priority::High && job.spec.kind != JobKind::Gang {
                let reserved = reservations.entry(&job.spec.team).or_default();
                let queued = per_task.for_tasks(i64::from(job.queued()));
                reserved.high_priority.add(&queued);
            }
        }
        QuotaLedger {
            teams,
            usage,
            reservations,
        }
    }

    fn team(&self, name: &str) -> Option<&'a Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    fn usage(&self, name: &str) -> TeamUsage {
        self.usage.get(name).copied().unwrap_or_default()
    }

    /// Whether all of a team's unfinished jobs fit into its guarantee together.
    pub fn entitled(&self, name: &str) -> bool {
        let usage = self.usage(name);
        self.team(name).is_some_and(|t| {
            (t.cpus > 0 || t.gpus > 0)
                && self.usage.contains_key(name)
                && usage.wanted_cpus <= t.cpus
                && usage.wanted_gpus <= t.gpus
        })
    }

    /// Whether a team's limit keeps some of its work waiting.
    pub fn binds(&self, name: &str) -> bool {
        let usage = self.usage(name);
        let over = |max, wanted| max > 0 && wanted > max;
        self.team(name).is_some_and(|t| {
            over(t.cpus_max, usage.wanted_cpus) || over(t.gpus_max, usage.wanted_gpus)
        })
    }

    /// Reserves so many CPUs (in thousandths) of a team's limit for its starved classes.
    pub fn reserve_minimum_share(&mut self, team: &'a str, cpus: i64) {
        self.reservations
            .entry(team)
            .or_default()
            .minimum_share
            .cpus += cpus;
    }

    /// Reserves what a gang needs of its team's limit, also against other gangs if `before_other_gangs`.
    /// For this gang `released_by_then` does not count as used.
    pub fn reserve_for_gang(
        &mut self,
        id: &JobId,
        spec: &'a JobSpec,
        before_other_gangs: bool,
        released_by_then: Resources,
    ) {
        self.reservations.entry(&spec.team).or_default().gang = Some(GangReservation {
            id: id.clone(),
            resources: spec.resources.for_tasks(i64::from(spec.task_count)),
            before_other_gangs,
            released_by_then,
        });
    }

    /// Lets no further gang of a team start.
    pub fn close_gangs(&mut self, team: &'a str) {
        self.reservations.entry(team).or_default().gangs_closed = true;
    }

    /// How many more tasks of a job its team's limit lets start.
    pub fn headroom(&self, spec: &JobSpec, verdict: QuotaVerdict<'_>) -> i64 {
        let usage = self.usage(&spec.team);
        let mut used = Resources {
            cpus: usage.cpus,
            gpus: usage.gpus,
            memory: 0,
        };
        if let Some(reserved) = self.reservations.get(&*spec.team) {
            if reserved.gangs_closed && matches!(verdict, QuotaVerdict::Gang(_)) {
                return 0;
            }
            if verdict != QuotaVerdict::WithinGuarantee {
                used.add(&reserved.high_priority);
            }
            if verdict == QuotaVerdict::Ordinary {
                used.add(&reserved.minimum_share);
            }
            if let Some(gang) = &reserved.gang {
                match verdict {
                    QuotaVerdict::Gang(id) if *id == gang.id => {
                        used.subtract(&gang.released_by_then);
                    }
                    QuotaVerdict::Gang(_) if !gang.before_other_gangs => {}
                    QuotaVerdict::Gang(_) | QuotaVerdict::Ordinary => used.add(&gang.resources),
                    QuotaVerdict::WithinGuarantee | QuotaVerdict::MinimumShare => {}
                }
            }
        }
        at_once(self.teams, spec, &used).unwrap_or(i64::MAX)
    }

    /// Counts so many tasks of a job as started, and no longer as reserved.
    pub fn start(&mut self, spec: &'a JobSpec, tasks: i64, verdict: QuotaVerdict<'_>) {
        let started = spec.resources.for_tasks(tasks);
        let usage = self.usage.entry(&spec.team).or_default();
        usage.cpus += started.cpus;
        usage.gpus += started.gpus;
        let Some(reserved) = self.reservations.get_mut(&*spec.team) else {
            return;
        };
        let fulfil = |reservation: &mut Resources| {
            reservation.cpus = (reservation.cpus - started.cpus).max(0);
            reservation.gpus = (reservation.gpus - started.gpus).max(0);
        };
        match verdict {
            QuotaVerdict::WithinGuarantee => fulfil(&mut reserved.high_priority),
            QuotaVerdict::MinimumShare => fulfil(&mut reserved.minimum_share),
            QuotaVerdict::Gang(id)
                if tasks > 0 && reserved.gang.as_ref().is_some_and(|gang| gang.id == *id) =>
            {
                reserved.gang = None;
            }
            QuotaVerdict::Gang(_) | QuotaVerdict::Ordinary => {}
        }
    }
}

/// How many tasks of a job its team may run at once beside what it uses elsewhere; `None` if nothing
/// limits them.
pub fn at_once(teams: &[Team], spec: &JobSpec, elsewhere: &Resources) -> Option<i64> {
    let team = teams.iter().find(|t| t.name == spec.team)?;
    let amounts = [
        (team.cpus_max, elsewhere.cpus, spec.resources.cpus),
        (team.gpus_max, elsewhere.gpus, spec.resources.gpus),
    ];
    let limited = amounts
        .iter()
        .filter(|(max, _, need)| *max > 0 && *need > 0);
    limited
        .map(|(max, used, need)| ((max - used) / need).max(0))
        .min()
}
