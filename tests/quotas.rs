//! Teams at their quotas: what is scaled out, which jobs start, and that no controller exceeds a quota.

mod common;

use common::{LIMITS, Store, machine_type, spec};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::autoscaler::{CapacityForecast, ScalingDecision, decide};
use coppergw::fairness::service_levels::ServiceLevels;
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobRecord, JobSpec, Resources, TaskBlock, TaskState};
use coppergw::membership::{SHARD_COUNT, Shard, hash, shard_of};
use coppergw::policy::Policy;
use coppergw::scheduling::pending_reason::{PendingReason, pending_reason};
use coppergw::scheduling::{SchedulableMachine, Schedule, SchedulingInput, schedule};
use coppergw::settings::Team;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

const CPU: i64 = 1000;

fn teams(limit: i64) -> Vec<Team> {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus: 0,
        cpus_max,
        gpus: 0,
        gpus_max: 0,
    };
    vec![team("capped", limit * CPU), team("free", 0)]
}

fn job(team: &str, kind: JobKind, rank: Priority, tasks: u32, cpus: i64) -> JobSpec {
    JobSpec {
        team: team.into(),
        class: format!("{kind:?}-{rank:?}"),
        priority: rank,
        resources: Resources {
            cpus: cpus * CPU,
            gpus: 0,
            memory: CPU,
        },
        ..spec(kind, tasks)
    }
}

/// A fleet of machines with 16 CPUs, and what happens to it.
struct TestCluster {
    store: Store,
    teams: Vec<Team>,
    now: u64,
}

impl TestCluster {
    fn new(machines: usize, limit: i64) -> TestCluster {
        let mut f = TestCluster {
            store: Store::default(),
            teams: teams(limit),
            now: 500 * SECOND,
        };
        let types = vec![machine_type("cpu", 16.0, 0.0)];
        f.store.put(keys::TYPES.into(), &types);
        for n in 0..SHARD_COUNT {
            let p = Shard {
                owner: format!("n{}", n % 3),
                lease: 1,
                term: 1,
            };
            f.store.put(keys::shard(n), &p);
        }
        for i in 0..machines {
            let h = common::up("cpu");
            f.store.put(keys::machine(&format!("m-{i:06}")), &h);
        }
        f
    }

    fn job(&mut self, id: &str, s: &JobSpec) {
        let s = JobSpec {
            submitted_at: s.submitted_at.max(1),
            ..s.clone()
        };
        self.store
            .put(keys::job(id), &JobRecord(s, TaskBlock::default()));
    }

    fn view(&self) -> ClusterState {
        let mut v = ClusterState::default();
        self.catch_up(&mut v, u64::MAX);
        v
    }

    /// Tells a view what was written up to a revision.
    fn catch_up(&self, v: &mut ClusterState, to: u64) {
        for (rev, key, x) in &self.store.log {
            if *rev > v.revision && *rev <= to {
                match x {
                    Some(x) => v.put(key, x, *rev),
                    None => v.delete(key, *rev),
                }
            }
        }
        v.revision = v.revision.max(to.min(self.store.rev));
    }

    /// The plan of one controller of three (`None`: of one that owns everything).
    fn plan(&self, v: &ClusterState, me: Option<u32>, forecast: bool) -> Schedule {
        let mine = |id: &str| me.is_none_or(|n| shard_of(id) % 3 == n);
        schedule(&SchedulingInput {
            view: v,
            wall_clock: self.now,
            teams: &self.teams,
            objectives: &[],
            schedulable: &|id, h| {
                let up = h.state == MachineState::Up && (forecast || mine(id));
                up.then_some(SchedulableMachine {
                    session: h.session,
                    owned: mine(id),
                })
            },
            freed: &HashMap::new(),
            // A service whose owner has no room, or no machine left, is taken by the others.
            in_backoff: &|id| !mine(id) && v.jobs[id].spec.kind != JobKind::Service,
            owns_job: &mine,
            owns_machine: &mine,
            place_gangs: me.is_none_or(|n| n == 0),
            place_arrays: true,
            place_deadline_steps: true,
            forecast,
            write_limit: None,
        })
    }

    /// What the leader does about machines, without spot ones in place of ordinary ones.
    fn rent(&self, v: &ClusterState, forecast: &Schedule) -> ScalingDecision {
        let policy = Policy {
            use_spot: false,
            ..Policy::default()
        };
        decide(&CapacityForecast {
            view: v,
            schedule: forecast,
            policy: &policy,
            objectives: &[],
            teams: &self.teams,
            wall_clock: self.now,
            refused: &|_, _, _| false,
            idle_since: &HashMap::new(),
            machines_per_request: 50,
            known_up: &|_| false,
        })
    }

    /// Stages a controller's intents on its view; the store takes what its conditions allow.
    fn carry_out(&mut self, v: &ClusterState, intents: &[JobChange]) {
        for s in stage(v, intents, &HashSet::new(), &|t| t == "capped", LIMITS) {
            self.store.apply(&s.transaction);
        }
    }

    fn placed(v: &ClusterState, job: &str) -> u32 {
        v.jobs.get(job).map_or(0, |j| j.placed)
    }
}

fn used(v: &ClusterState, team: &str) -> i64 {
    v.indexes().teams.get(team).map_or(0, |r| r.cpus)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Whatever waits: what the forecast misses room for, with what is in use and what it places, stays
    /// within the limit; and no more machines are rented than that fills.
    #[test]
    fn no_more_is_rented_than_can_start(
        machines in 0usize..6,
        limit in 20i64..200,
        jobs in proptest::collection::vec((0u8..3, 0u8..2, 1u32..200, 1i64..8, any::<bool>()), 1..12),
    ) {
        let mut f = TestCluster::new(machines, limit);
        for (i, (kind, rank, tasks, cpus, capped)) in jobs.iter().enumerate() {
            let kind = [JobKind::Array, JobKind::Gang, JobKind::Service][*kind as usize];
            let rank = match kind {
                JobKind::Service => Priority::Production,
                _ => [Priority::Normal, Priority::Low][*rank as usize],
            };
            let tasks = if kind == JobKind::Array { *tasks } else { tasks % 12 + 1 };
            f.job(&format!("req-{i:06}"), &job(if *capped { "capped" } else { "free" }, kind, rank, tasks, *cpus));
        }
        // Some of it runs already, and each part of it is a start of the rest.
        let v = f.view();
        let first = f.plan(&v, None, false).changes;
        f.carry_out(&v, &first);
        let v = f.view();
        prop_assert!(used(&v, "capped") <= limit * CPU);
        let p = f.plan(&v, None, true);
        let mut missing = 0;
        let mut fills = 0.0;
        for (id, n) in &p.unplaced {
            let s = &v.jobs[id].spec;
            let per = Resources::of_machine(&machine_type("cpu", 16.0, 0.0)).count_fitting(&s.resources).max(1);
            fills += f64::from(*n) / per as f64;
            if s.team == "capped" {
                missing += s.resources.cpus * i64::from(*n);
            }
        }
        // A gang that the limit will let start has the team's arrays make room for it meanwhile.
        let gangs = p.unplaced.iter().any(|(id, _)| v.jobs[id].spec.kind == JobKind::Gang);
        prop_assert!(gangs || used(&v, "capped") + missing <= limit * CPU, "{missing}");
        let d = f.rent(&v, &p);
        let rented: u32 = d.scale_out.iter().map(|c| c.count).sum();
        let starved: u32 = p.starved.values().sum();
        // The room at hand for services is beside it: at most the largest of them.
        prop_assert!(f64::from(rented) <= fills + f64::from(starved) + 8.0, "{rented} for {fills}");
    }
}

/// A team at its limit with room for one more task: hundreds of machines were rented for the rest of its
/// backlog each half minute, and returned.
#[test]
fn a_backlog_behind_a_limit_rents_nothing() {
    let mut f = TestCluster::new(2, 32);
    f.job(
        "req-000001",
        &job("capped", JobKind::Array, Priority::Normal, 31, 1),
    );
    let v = f.view();
    let first = f.plan(&v, None, false).changes;
    f.carry_out(&v, &first);
    let backlog = job("capped", JobKind::Array, Priority::Normal, 600, 1);
    f.job("req-000002", &backlog);
    f.job("req-000003", &backlog);
    let v = f.view();
    let p = f.plan(&v, None, true);
    assert_eq!(p.unplaced, vec![]);
    let waits: u32 = p.limited_by_quota.values().sum();
    assert_eq!(waits, 1199, "one more starts");
    let id = "req-000003".into();
    let said = pending_reason(&p, &id, &v.jobs[&id], false, 0);
    assert_eq!(said, Some((PendingReason::TeamLimit, 600)));
    let d = f.rent(&v, &p);
    assert_eq!(d.scale_out, vec![]);
}

/// At the limit each CPU that became free went to a small task, often placed by another controller: a
/// service, a gang and a class that takes more per task never found enough at once.
#[test]
fn a_limit_keeps_room_for_who_goes_first() {
    // (what waits, how long it has waited): small tasks leave so many CPUs of the 16 below the limit.
    let cases = [
        (
            job("capped", JobKind::Service, Priority::Production, 2, 4),
            0,
            8,
        ),
        (job("capped", JobKind::Gang, Priority::Normal, 3, 4), 41, 12),
        (job("capped", JobKind::Array, Priority::Low, 4, 16), 400, 16),
    ];
    for (waits, age, kept) in cases {
        let mut f = TestCluster::new(12, 64);
        f.job(
            "req-000001",
            &job("capped", JobKind::Array, Priority::Normal, 48, 1),
        );
        let v = f.view();
        let first = f.plan(&v, None, false).changes;
        f.carry_out(&v, &first);
        let waits = JobSpec {
            submitted_at: f.now - age * SECOND,
            image: "other".into(),
            ..waits
        };
        f.job("req-000002", &waits);
        let small = JobSpec {
            submitted_at: f.now,
            ..job("capped", JobKind::Array, Priority::Normal, 100, 1)
        };
        for n in 3..9 {
            f.job(&format!("req-{n:06}"), &small);
        }
        let v = f.view();
        // A controller that neither owns the waiting job nor places gangs; it owns some of the others.
        let other = (1..3).find(|n| shard_of("req-000002") % 3 != *n);
        let p = f.plan(&v, other, false);
        let taken: usize = p
            .changes
            .iter()
            .map(|i| match i {
                JobChange::Place { job, tasks } if &**job != "req-000002" => tasks.len(),
                _ => 0,
            })
            .sum();
        assert!(taken > 0 || kept == 16, "{:?}", waits.kind);
        assert!(taken <= 16 - kept, "{:?}: {taken}", waits.kind);
        // Its own controller places it.
        let p = f.plan(&v, None, false);
        f.carry_out(&v, &p.changes);
        let v = f.view();
        assert!(
            TestCluster::placed(&v, "req-000002") > 0,
            "{:?} starts",
            waits.kind
        );
        assert!(used(&v, "capped") <= 64 * CPU);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    /// Three controllers place at once, each on a view that is behind, while a team is at its limit and
    /// machines fail, several in one step. At no revision does the team use more than its limit; the low
    /// class gets its turns behind an endless normal backlog; the services all run at the end.
    #[test]
    fn machines_fail_while_a_team_is_at_its_limit(
        fails in proptest::collection::vec((5usize..60, 0usize..18), 2..12),
        seed in any::<u64>(),
    ) {
        let limit = 96;
        let mut f = TestCluster::new(18, limit);
        for i in 0..24 {
            f.job(&format!("req-1{i:05}"), &job("capped", JobKind::Array, Priority::Normal, 80, 1));
        }
        for i in 0..6 {
            f.job(&format!("req-2{i:05}"), &job("capped", JobKind::Array, Priority::Low, 20, 4));
        }
        for i in 0..5 {
            f.job(&format!("req-3{i:05}"), &job("free", JobKind::Array, Priority::Normal, 100, 1));
        }
        let mut views: Vec<ClusterState> = (0..3).map(|_| ClusterState::default()).collect();
        let mut truth = ClusterState::default();
        let mut dead: BTreeMap<MachineId, usize> = BTreeMap::new();
        let mut low = 0;
        for step in 0..80 {
            f.now += SECOND;
            if step == 20 {
                for i in 0..4 {
                    f.job(&format!("req-4{i:05}"), &job("capped", JobKind::Service, Priority::Production, 3, 2));
                }
            }
            for (_, m) in fails.iter().filter(|x| x.0 == step) {
                dead.entry(format!("m-{m:06}").as_str().into()).or_insert(step);
            }
            for (n, v) in views.iter_mut().enumerate() {
                let lag = hash(&format!("{seed}/{step}/{n}")) % 6;
                f.catch_up(v, f.store.rev.saturating_sub(lag).max(v.revision));
            }
            for n in 0..3u32 {
                let v = &views[n as usize];
                let mut intents = Vec::new();
                for (machine, tasks) in &v.tasks_by_machine {
                    if shard_of(machine) % 3 != n {
                        continue;
                    }
                    // What was on a dead machine has left it once the cloud took it back.
                    let gone = dead.get(machine).map(|at| step > at + 3);
                    for ((id, index), p) in tasks {
                        let service = v.jobs[id].spec.kind == JobKind::Service;
                        let luck = hash(&format!("{seed}/{step}/{id}/{index}")) % 5;
                        let done = gone.is_none() && !service && luck == 0;
                        if done || gone == Some(true) {
                            let (job, attempt) = (id.clone(), p.attempt);
                            intents.push(JobChange::AttemptEnded { job, index: *index, attempt, done });
                        }
                    }
                }
                intents.extend(f.plan(v, Some(n), false).changes);
                let list = stage(v, &intents, &HashSet::new(), &|t| t == "capped", LIMITS);
                for s in list {
                    f.store.apply(&s.transaction);
                    f.catch_up(&mut truth, u64::MAX);
                    prop_assert!(used(&truth, "capped") <= limit * CPU, "{}", used(&truth, "capped"));
                }
            }
            // Machines that died and have nothing on them are gone.
            for (machine, at) in &dead {
                if step > at + 4 && truth.tasks_on(machine).is_none() && truth.machines.contains_key(machine) {
                    let t = coppergw::wire::state::Transaction {
                        preconditions: vec![],
                        mutations: vec![coppergw::wire::state::Mutation::Delete { key: keys::machine(machine) }],
                    };
                    f.store.apply(&t);
                }
            }
            f.catch_up(&mut truth, u64::MAX);
            low = truth.jobs.iter().filter(|(id, _)| id.starts_with("req-2")).map(|(_, j)| {
                j.slots().filter(|(_, s)| !matches!(s, TaskState::Waiting(0))).count()
            }).sum();
        }
        prop_assert!(low >= 6, "low work got {low} starts");
        for i in 0..4 {
            let id = format!("req-4{i:05}");
            prop_assert_eq!(TestCluster::placed(&truth, &id), 3, "service {} waits", i);
        }
        common::indexed(&truth);
    }
}

/// The team is at its limit, its job is cancelled, and of its machines some cannot be asked when the owner changes:
/// what may still run there counts for whoever owns them, whatever was cancelled, and comes back task by task.
#[test]
fn what_was_cancelled_counts_until_it_has_left() {
    let mut f = TestCluster::new(3, 4);
    let placed = |machine: &str| {
        TaskState::Placed(coppergw::jobs::model::Placement {
            attempt: 1,
            machine: machine.into(),
            session: 1,
            stop: None,
        })
    };
    let old = JobSpec {
        cancelled: true,
        submitted_at: 1,
        ..job("capped", JobKind::Array, Priority::Normal, 4, 1)
    };
    let slots = ["m-000000", "m-000000", "m-000001", "m-000002"].map(placed);
    let record = JobRecord(old, TaskBlock(slots.to_vec()));
    f.store.put(keys::job("req-000001"), &record);
    f.job(
        "req-000002",
        &job("capped", JobKind::Array, Priority::Normal, 9, 1),
    );
    for left in 0..=4u32 {
        // Every part has a new owner, with a higher term.
        for n in 0..SHARD_COUNT {
            let owner = format!("n{}", (n + left) % 3);
            let p = Shard {
                owner,
                lease: 2,
                term: 2 + u64::from(left),
            };
            f.store.put(keys::shard(n), &p);
        }
        let v = f.view();
        let p = f.plan(&v, None, false);
        f.carry_out(&v, &p.changes);
        let v = f.view();
        assert_eq!(
            TestCluster::placed(&v, "req-000002"),
            left,
            "no more, and none is lost for good"
        );
        assert!(used(&v, "capped") <= 4 * CPU);
        let gone = JobChange::AttemptEnded {
            job: "req-000001".into(),
            index: left,
            attempt: 1,
            done: false,
        };
        f.carry_out(&v, &[gone]);
    }
}

/// With more room free than gangs need, machines in use close so that what is free goes first. Each look
/// closed as many again: all that were in use closed, and others were rented for the next gang.
#[test]
fn no_more_machines_with_gangs_close_than_stand_free() {
    let mut f = TestCluster::new(0, 0);
    let types = vec![
        machine_type("cpu", 16.0, 0.0),
        machine_type("gpu", 24.0, 2.0),
    ];
    f.store.put(keys::TYPES.into(), &types);
    let machine = |state| MachineRecord {
        machine_type: "gpu".into(),
        zone: "a".into(),
        spot: false,
        address: None,
        session: 1,
        state,
        rented_at: 0,
    };
    for i in 0..40 {
        f.store.put(
            keys::machine(&format!("m-{i:06}")),
            &machine(MachineState::Up),
        );
    }
    let gang = job("free", JobKind::Gang, Priority::Normal, 36, 21);
    let room = Resources {
        gpus: 2 * CPU,
        ..gang.resources
    };
    f.job(
        "req-000001",
        &JobSpec {
            resources: room,
            ..gang
        },
    );
    let v = f.view();
    let first = f.plan(&v, None, false).changes;
    f.carry_out(&v, &first);
    let mut closed = 0;
    for _ in 0..5 {
        let v = f.view();
        assert_eq!(TestCluster::placed(&v, "req-000001"), 36);
        let d = f.rent(&v, &f.plan(&v, None, true));
        for id in d.cordon {
            closed += 1;
            f.store
                .put(keys::machine(&id), &machine(MachineState::Closing));
        }
    }
    assert!(closed <= 4, "{closed} closed, 4 stood free");
}

/// A controller that missed a part of the log reads everything again. Another leader may have added up the
/// jobs that ended in that gap: they are not added once more.
#[test]
fn an_end_in_a_gap_counts_from_where_the_gap_begins() {
    let mut f = TestCluster::new(0, 0);
    f.job(
        "req-000001",
        &job("free", JobKind::Array, Priority::Low, 1, 1),
    );
    let mut v = f.view();
    v.retain_prefix("c/job/", &HashSet::new(), v.revision + 20);
    let ends: Vec<u64> = v.recent_job_ends().map(|e| e.revision).collect();
    assert_eq!(ends, vec![v.revision + 1]);
    let other = ServiceLevels {
        revision: v.revision + 8,
        ..ServiceLevels::default()
    };
    let next = other.with(v.recent_job_ends().cloned(), v.revision + 20, 1000);
    assert!(next.ended.is_empty());
}
