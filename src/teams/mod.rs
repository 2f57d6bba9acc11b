//! Teams: what each uses, is owed, and may still start. Pure: one plan's account of it.

use crate::jobs::model::{Room, Spec};
use crate::settings::Team;
use crate::store::view::View;
use foldhash::HashMap;

/// What a team's tasks take, and would take if all that wait ran too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    cpus: i64,
    gpus: i64,
    wanted_cpus: i64,
    wanted_gpus: i64,
}

/// The account of all teams while a plan is made: it begins with what is placed, and what the plan
/// adds counts at once.
pub struct Account<'a> {
    teams: &'a [Team],
    by: HashMap<&'a str, Usage>,
}

impl<'a> Account<'a> {
    /// What is placed, and what waits and may start.
    pub fn open(v: &'a View, teams: &'a [Team]) -> Account<'a> {
        let mut by: HashMap<&str, Usage> = HashMap::default();
        for (team, r) in &v.index().teams {
            let u = by.entry(team).or_default();
            (u.cpus, u.gpus, u.wanted_cpus, u.wanted_gpus) = (r.cpus, r.gpus, r.cpus, r.gpus);
        }
        // What waits for other jobs holds no part of its team's guarantee or limit.
        for (_, j) in v.waiting().filter(|(_, j)| j.ready) {
            let r = &j.spec.room;
            let u = by.entry(&j.spec.team).or_default();
            u.wanted_cpus += r.cpus * i64::from(j.waiting);
            u.wanted_gpus += r.gpus * i64::from(j.waiting);
        }
        Account { teams, by }
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

    /// How many more tasks of a job its team's limit lets start.
    pub fn headroom(&self, s: &Spec) -> i64 {
        let u = self.usage(&s.team);
        let used = Room {
            cpus: u.cpus,
            gpus: u.gpus,
            memory: 0,
        };
        at_once(self.teams, s, &used).unwrap_or(i64::MAX)
    }

    /// So many tasks of a job count as started.
    pub fn start(&mut self, s: &'a Spec, tasks: i64) {
        let u = self.by.entry(&s.team).or_default();
        u.cpus += s.room.cpus * tasks;
        u.gpus += s.room.gpus * tasks;
    }
}

/// How many tasks of a job its team may run at once beside what it holds elsewhere; `None` if nothing
/// limits them.
pub fn at_once(teams: &[Team], s: &Spec, elsewhere: &Room) -> Option<i64> {
    let t = teams.iter().find(|t| t.name == s.team)?;
    let amounts = [
        (t.cpus_max, elsewhere.cpus, s.room.cpus),
        (t.gpus_max, elsewhere.gpus, s.room.gpus),
    ];
    let limited = amounts
        .iter()
        .filter(|(max, _, need)| *max > 0 && *need > 0);
    limited
        .map(|(max, used, need)| ((max - used) / need).max(0))
        .min()
}
