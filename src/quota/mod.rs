//! Teams: what each uses, is owed, and may still start. Pure: one plan's account of it.

use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::settings::Team;
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobKind, Priority};
use foldhash::HashMap;

/// What a team's tasks take, and would take if all that wait ran too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    cpus: i64,
    gpus: i64,
    wanted_cpus: i64,
    wanted_gpus: i64,
}

/// What is kept of a team's limit for work that cannot start yet. Without it small tasks of lower rank
/// take every CPU that becomes free, and whoever needs several at once, or is placed by another
/// controller, never finds them.
#[derive(Clone, Debug, Default)]
struct Claims {
    /// Waiting tasks of high rank: services as a rule.
    first: Resources,
    /// Starved classes, up to their floor.
    floor: Resources,
    gang: Option<GangClaim>,
    /// Gangs have their share: no further one is counted on.
    gangs_full: bool,
}

/// What is kept for one gang.
#[derive(Clone, Debug)]
struct GangClaim {
    id: JobId,
    need: Resources,
    /// It waits so long that other gangs wait too.
    patient: bool,
    /// What will have ended before it starts.
    drains: Resources,
}

/// What a task is to its team's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict<'a> {
    /// High rank: no claim stands before it.
    WithinGuarantee,
    /// Within the floor of a starved class.
    MinimumShare,
    /// A gang.
    Gang(&'a JobId),
    /// Any other.
    Ordinary,
}

/// The account of all teams while a plan is made: it begins with what is placed, and what the plan
/// adds counts at once.
pub struct QuotaLedger<'a> {
    teams: &'a [Team],
    by: HashMap<&'a str, Usage>,
    claims: HashMap<&'a str, Claims>,
}

impl<'a> QuotaLedger<'a> {
    /// What is placed, and what waits and may start.
    pub fn open(v: &'a ClusterState, teams: &'a [Team]) -> QuotaLedger<'a> {
        let mut by: HashMap<&str, Usage> = HashMap::default();
        for (team, r) in &v.indexes().teams {
            let u = by.entry(team).or_default();
            (u.cpus, u.gpus, u.wanted_cpus, u.wanted_gpus) = (r.cpus, r.gpus, r.cpus, r.gpus);
        }
        let mut claims: HashMap<&str, Claims> = HashMap::default();
        // Without guarantees and limits nobody asks what is wanted.
        let bound = |t: &Team| t.cpus > 0 || t.gpus > 0 || t.cpus_max > 0 || t.gpus_max > 0;
        let asked = teams.iter().any(bound).then(|| v.waiting());
        // What waits for other jobs holds no part of its team's guarantee or limit.
        for (_, j) in asked.into_iter().flatten().filter(|(_, j)| j.ready) {
            let r = &j.spec.resources;
            let u = by.entry(&j.spec.team).or_default();
            u.wanted_cpus += r.cpus * i64::from(j.waiting);
            u.wanted_gpus += r.gpus * i64::from(j.waiting);
            if j.spec.priority <= Priority::High && j.spec.kind != JobKind::Gang {
                let c = claims.entry(&j.spec.team).or_default();
                c.first.add(&r.for_tasks(i64::from(j.queued())));
            }
        }
        QuotaLedger { teams, by, claims }
    }

    fn team(&self, name: &str) -> Option<&'a Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    fn usage(&self, name: &str) -> Usage {
        self.by.get(name).copied().unwrap_or_default()
    }

    /// Whether all of a team's unfinished jobs fit into its guarantee together.
    pub fn entitled(&self, name: &str) -> bool {
        let u = self.usage(name);
        self.team(name).is_some_and(|t| {
            (t.cpus > 0 || t.gpus > 0)
                && self.by.contains_key(name)
                && u.wanted_cpus <= t.cpus
                && u.wanted_gpus <= t.gpus
        })
    }

    /// Whether a team's limit keeps some of its work waiting.
    pub fn binds(&self, name: &str) -> bool {
        let u = self.usage(name);
        let over = |max, wanted| max > 0 && wanted > max;
        self.team(name)
            .is_some_and(|t| over(t.cpus_max, u.wanted_cpus) || over(t.gpus_max, u.wanted_gpus))
    }

    /// Keeps so many CPUs of a team's limit for its starved classes.
    pub fn reserve_minimum_share(&mut self, team: &'a str, cpus: i64) {
        self.claims.entry(team).or_default().floor.cpus += cpus;
    }

    /// Keeps what a gang needs of its team's limit; also from other gangs if it has waited long. For this
    /// gang what `drains` does not count as used.
    pub fn reserve_for_gang(
        &mut self,
        id: &JobId,
        s: &'a JobSpec,
        patient: bool,
        drains: Resources,
    ) {
        self.claims.entry(&s.team).or_default().gang = Some(GangClaim {
            id: id.clone(),
            need: s.resources.for_tasks(i64::from(s.task_count)),
            patient,
            drains,
        });
    }

    /// Counts on no further gang of a team.
    pub fn close_gangs(&mut self, team: &'a str) {
        self.claims.entry(team).or_default().gangs_full = true;
    }

    /// How many more tasks of a job its team's limit lets start.
    pub fn headroom(&self, s: &JobSpec, turn: QuotaVerdict<'_>) -> i64 {
        let u = self.usage(&s.team);
        let mut used = Resources {
            cpus: u.cpus,
            gpus: u.gpus,
            memory: 0,
        };
        if let Some(c) = self.claims.get(&*s.team) {
            if c.gangs_full && matches!(turn, QuotaVerdict::Gang(_)) {
                return 0;
            }
            if turn != QuotaVerdict::WithinGuarantee {
                used.add(&c.first);
            }
            if turn == QuotaVerdict::Ordinary {
                used.add(&c.floor);
            }
            if let Some(g) = &c.gang {
                match turn {
                    QuotaVerdict::Gang(id) if *id == g.id => used.subtract(&g.drains),
                    QuotaVerdict::Gang(_) if !g.patient => {}
                    QuotaVerdict::Gang(_) | QuotaVerdict::Ordinary => used.add(&g.need),
                    QuotaVerdict::WithinGuarantee | QuotaVerdict::MinimumShare => {}
                }
            }
        }
        at_once(self.teams, s, &used).unwrap_or(i64::MAX)
    }

    /// So many tasks of a job count as started, and no longer as claimed.
    pub fn start(&mut self, s: &'a JobSpec, tasks: i64, turn: QuotaVerdict<'_>) {
        let room = s.resources.for_tasks(tasks);
        let u = self.by.entry(&s.team).or_default();
        u.cpus += room.cpus;
        u.gpus += room.gpus;
        let Some(c) = self.claims.get_mut(&*s.team) else {
            return;
        };
        let met = |claim: &mut Resources| {
            claim.cpus = (claim.cpus - room.cpus).max(0);
            claim.gpus = (claim.gpus - room.gpus).max(0);
        };
        match turn {
            QuotaVerdict::WithinGuarantee => met(&mut c.first),
            QuotaVerdict::MinimumShare => met(&mut c.floor),
            QuotaVerdict::Gang(id) if tasks > 0 && c.gang.as_ref().is_some_and(|g| g.id == *id) => {
                c.gang = None;
            }
            QuotaVerdict::Gang(_) | QuotaVerdict::Ordinary => {}
        }
    }
}

/// How many tasks of a job its team may run at once beside what it holds elsewhere; `None` if nothing
/// limits them.
pub fn at_once(teams: &[Team], s: &JobSpec, elsewhere: &Resources) -> Option<i64> {
    let t = teams.iter().find(|t| t.name == s.team)?;
    let amounts = [
        (t.cpus_max, elsewhere.cpus, s.resources.cpus),
        (t.gpus_max, elsewhere.gpus, s.resources.gpus),
    ];
    let limited = amounts
        .iter()
        .filter(|(max, _, need)| *max > 0 && *need > 0);
    limited
        .map(|(max, used, need)| ((max - used) / need).max(0))
        .min()
}
