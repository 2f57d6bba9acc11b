//! Team quotas: usage, guarantees and remaining headroom of each team. The ledger belongs to one scheduling
//! run and ends with it; nothing here is stored.

use crate::jobs::model::{JobId, JobSpec, Resources};
use crate::settings::Team;
use crate::store::cluster_state::ClusterState;
use crate::wire::user::{JobKind, Priority};
use foldhash::HashMap;

/// Resources of a team's placed tasks, and its demand, which includes its waiting tasks as well. CPUs and GPUs
/// in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TeamUsage {
    cpus: i64,
    gpus: i64,
    demand_cpus: i64,
    demand_gpus: i64,
}

/// Resources reserved within a team's limit for work that cannot start yet. Without reservations, small
/// tasks of lower priority would take every CPU that is released, and work that needs several at once, or
/// that another controller places, would never get them.
#[derive(Clone, Debug, Default)]
struct Reservations {
    /// For waiting tasks of high priority, usually services.
    high_priority: Resources,
    /// For starved classes, up to their minimum share.
    minimum_share: Resources,
    gang: Option<GangReservation>,
    /// Whether gangs already have their share, so that no further gang may start.
    further_gangs_blocked: bool,
}

/// Reservation for one gang.
#[derive(Clone, Debug)]
struct GangReservation {
    id: JobId,
    resources: Resources,
    /// Whether the gang has waited so long that other gangs must respect its reservation.
    blocks_other_gangs: bool,
    /// Resources expected to be released before the gang starts; for this gang they do not count as used.
    released_before_start: Resources,
}

/// Class of a task within its team's limit, which determines the reservations that the task must respect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaClass<'a> {
    /// High priority: takes precedence over all reservations.
    HighPriority,
    /// Within the minimum share of a starved class.
    MinimumShare,
    /// A gang.
    Gang(&'a JobId),
    /// Any other task.
    Ordinary,
}

/// Usage and reservations of all teams during a scheduling run. The ledger starts from the placed tasks, and
/// each task that the run places is counted immediately.
pub struct QuotaLedger<'a> {
    teams: &'a [Team],
    usage: HashMap<&'a str, TeamUsage>,
    reservations: HashMap<&'a str, Reservations>,
}

impl<'a> QuotaLedger<'a> {
    /// Returns a ledger of the placed tasks and of the waiting tasks that may start.
    pub fn new(view: &'a ClusterState, teams: &'a [Team]) -> QuotaLedger<'a> {
        let mut usage: HashMap<&str, TeamUsage> = HashMap::default();
        for (team, placed) in &view.indexes().teams {
            let team_usage = usage.entry(team).or_default();
            *team_usage = TeamUsage {
                cpus: placed.cpus,
                gpus: placed.gpus,
                demand_cpus: placed.cpus,
                demand_gpus: placed.gpus,
            };
        }
        let mut reservations: HashMap<&str, Reservations> = HashMap::default();
        // The demand is read only for teams with a guarantee or a limit.
        let has_quota =
            |team: &Team| team.cpus > 0 || team.gpus > 0 || team.cpus_max > 0 || team.gpus_max > 0;
        let waiting = teams.iter().any(has_quota).then(|| view.waiting());
        // Jobs that wait for other jobs do not count towards their team's guarantee or limit.
        for (_, job) in waiting.into_iter().flatten().filter(|(_, job)| job.ready) {
            let per_task = &job.spec.resources;
            let team_usage = usage.entry(&job.spec.team).or_default();
            team_usage.demand_cpus += per_task.cpus * i64::from(job.waiting);
            team_usage.demand_gpus += per_task.gpus * i64::from(job.waiting);
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
        self.teams.iter().find(|team| team.name == name)
    }

    fn usage(&self, name: &str) -> TeamUsage {
        self.usage.get(name).copied().unwrap_or_default()
    }

    /// Returns whether all unfinished jobs of a team fit into its guarantee together.
    pub fn fits_guarantee(&self, name: &str) -> bool {
        let usage = self.usage(name);
        self.team(name).is_some_and(|team| {
            (team.cpus > 0 || team.gpus > 0)
                && self.usage.contains_key(name)
                && usage.demand_cpus <= team.cpus
                && usage.demand_gpus <= team.gpus
        })
    }

    /// Returns whether a team's limit keeps some of its work waiting.
    pub fn limit_is_binding(&self, name: &str) -> bool {
        let usage = self.usage(name);
        let exceeds_limit = |max, demand| max > 0 && demand > max;
        self.team(name).is_some_and(|team| {
            exceeds_limit(team.cpus_max, usage.demand_cpus)
                || exceeds_limit(team.gpus_max, usage.demand_gpus)
        })
    }

    /// Reserves CPUs (in thousandths) of a team's limit for its starved classes.
    pub fn reserve_minimum_share(&mut self, team: &'a str, cpus: i64) {
        self.reservations
            .entry(team)
            .or_default()
            .minimum_share
            .cpus += cpus;
    }

    /// Reserves the resources of a gang within its team's limit, also against other gangs if
    /// `blocks_other_gangs`. For this gang, `released_before_start` does not count as used.
    pub fn reserve_for_gang(
        &mut self,
        id: &JobId,
        spec: &'a JobSpec,
        blocks_other_gangs: bool,
        released_before_start: Resources,
    ) {
        self.reservations.entry(&spec.team).or_default().gang = Some(GangReservation {
            id: id.clone(),
            resources: spec.resources.for_tasks(i64::from(spec.task_count)),
            blocks_other_gangs,
            released_before_start,
        });
    }

    /// Prevents further gangs of a team from starting.
    pub fn block_further_gangs(&mut self, team: &'a str) {
        self.reservations
            .entry(team)
            .or_default()
            .further_gangs_blocked = true;
    }

    /// Returns how many more tasks of a job may start within its team's limit.
    pub fn headroom(&self, spec: &JobSpec, class: QuotaClass<'_>) -> i64 {
        let usage = self.usage(&spec.team);
        let mut used = Resources {
            cpus: usage.cpus,
            gpus: usage.gpus,
            ..Resources::default()
        };
        if let Some(reserved) = self.reservations.get(&*spec.team) {
            if reserved.further_gangs_blocked && matches!(class, QuotaClass::Gang(_)) {
                return 0;
            }
            if class != QuotaClass::HighPriority {
                used.add(&reserved.high_priority);
            }
            if class == QuotaClass::Ordinary {
                used.add(&reserved.minimum_share);
            }
            if let Some(gang) = &reserved.gang {
                match class {
                    QuotaClass::Gang(id) if *id == gang.id => {
                        used.subtract(&gang.released_before_start);
                    }
                    QuotaClass::Gang(_) if !gang.blocks_other_gangs => {}
                    QuotaClass::Gang(_) | QuotaClass::Ordinary => used.add(&gang.resources),
                    QuotaClass::HighPriority | QuotaClass::MinimumShare => {}
                }
            }
        }
        max_concurrent_tasks(self.teams, spec, &used).unwrap_or(i64::MAX)
    }

    /// Counts tasks of a job as started, and no longer as reserved.
    pub fn record_started(&mut self, spec: &'a JobSpec, tasks: i64, class: QuotaClass<'_>) {
        let started = spec.resources.for_tasks(tasks);
        let usage = self.usage.entry(&spec.team).or_default();
        usage.cpus += started.cpus;
        usage.gpus += started.gpus;
        let Some(reserved) = self.reservations.get_mut(&*spec.team) else {
            return;
        };
        let release_reservation = |reservation: &mut Resources| {
            reservation.cpus = (reservation.cpus - started.cpus).max(0);
            reservation.gpus = (reservation.gpus - started.gpus).max(0);
        };
        match class {
            QuotaClass::HighPriority => release_reservation(&mut reserved.high_priority),
            QuotaClass::MinimumShare => release_reservation(&mut reserved.minimum_share),
            QuotaClass::Gang(id)
                if tasks > 0 && reserved.gang.as_ref().is_some_and(|gang| gang.id == *id) =>
            {
                reserved.gang = None;
            }
            QuotaClass::Gang(_) | QuotaClass::Ordinary => {}
        }
    }
}

/// Returns how many tasks of a job its team may run at the same time in addition to `other_usage`; `None`
/// if nothing limits them.
pub fn max_concurrent_tasks(
    teams: &[Team],
    spec: &JobSpec,
    other_usage: &Resources,
) -> Option<i64> {
    let team = teams.iter().find(|team| team.name == spec.team)?;
    let amounts = [
        (team.cpus_max, other_usage.cpus, spec.resources.cpus),
        (team.gpus_max, other_usage.gpus, spec.resources.gpus),
    ];
    let limited = amounts
        .iter()
        .filter(|(max, _, need)| *max > 0 && *need > 0);
    limited
        .map(|(max, used, need)| ((max - used) / need).max(0))
        .min()
}
