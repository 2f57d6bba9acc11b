//! Teams at their quotas: scale-out, which jobs start, and that no controller exceeds a quota.

mod common;

use common::{LIMITS, Store, machine_type, spec};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::autoscaler::{CapacityForecast, ScalingDecision, decide};
use coppergw::fairness::service_levels::ServiceLevels;
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobRecord, JobSpec, Resources, TaskBlock, TaskState};
use coppergw::membership::{SHARD_COUNT, Shard, shard_of, stable_hash};
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

/// Amount in `Resources` of one CPU, one GPU or one gigabyte of memory.
const THOUSANDTHS_PER_UNIT: i64 = 1000;

fn teams(limit: i64) -> Vec<Team> {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus: 0,
        cpus_max,
        gpus: 0,
        gpus_max: 0,
    };
    vec![
        team("capped", limit * THOUSANDTHS_PER_UNIT),
        team("free", 0),
    ]
}

fn job(team: &str, kind: JobKind, job_priority: Priority, tasks: u32, cpus: i64) -> JobSpec {
    JobSpec {
        team: team.into(),
        class: format!("{kind:?}-{job_priority:?}"),
        priority: job_priority,
        resources: Resources {
            cpus: cpus * THOUSANDTHS_PER_UNIT,
            gpus: 0,
            memory: THOUSANDTHS_PER_UNIT,
            heartbeat_bytes: 0,
        },
        ..spec(kind, tasks)
    }
}

/// A simulated cluster of machines with 16 CPUs.
struct TestCluster {
    store: Store,
    teams: Vec<Team>,
    now: u64,
}

impl TestCluster {
    fn new(machines: usize, limit: i64) -> TestCluster {
        let mut cluster = TestCluster {
            store: Store::default(),
            teams: teams(limit),
            now: 500 * SECOND,
        };
        let types = vec![machine_type("cpu", 16.0, 0.0)];
        cluster.store.put(keys::MACHINE_TYPES.into(), &types);
        for index in 0..SHARD_COUNT {
            let shard = Shard {
                owner: format!("n{}", index % 3),
                lease: 1,
                term: 1,
            };
            cluster.store.put(keys::shard(index), &shard);
        }
        for index in 0..machines {
            let machine = common::up("cpu");
            cluster
                .store
                .put(keys::machine(&format!("m-{index:06}")), &machine);
        }
        cluster
    }

    fn job(&mut self, id: &str, spec: &JobSpec) {
        let spec = JobSpec {
            submitted_at: spec.submitted_at.max(1),
            ..spec.clone()
        };
        self.store
            .put(keys::job(id), &JobRecord(spec, TaskBlock::default()));
    }

    fn view(&self) -> ClusterState {
        let mut view = ClusterState::default();
        self.catch_up(&mut view, u64::MAX);
        view
    }

    /// Applies the changes up to a revision to a view.
    fn catch_up(&self, view: &mut ClusterState, last_revision: u64) {
        for (revision, key, value) in &self.store.log {
            if *revision > view.revision && *revision <= last_revision {
                match value {
                    Some(value) => view.put(key, value, *revision),
                    None => view.delete(key, *revision),
                }
            }
        }
        view.revision = view.revision.max(last_revision.min(self.store.rev));
    }

    /// Returns the schedule of one controller of three (`None`: of one that owns all shards).
    fn plan(
        &self,
        cluster_state: &ClusterState,
        controller: Option<u32>,
        forecast: bool,
    ) -> Schedule {
        let is_owned = |id: &str| controller.is_none_or(|n| shard_of(id) % 3 == n);
        schedule(&SchedulingInput {
            view: cluster_state,
            wall_clock: self.now,
            teams: &self.teams,
            objectives: &[],
            schedulable_machine: &|id, record| {
                let up = record.state == MachineState::Up && (forecast || is_owned(id));
                up.then_some(SchedulableMachine {
                    session: record.session,
                    owned: is_owned(id),
                })
            },
            released_resources: &HashMap::new(),
            // A service whose owner has no free capacity, or no machine left, is placed by the other
            // controllers.
            in_backoff: &|id| !is_owned(id) && cluster_state.jobs[id].spec.kind != JobKind::Service,
            owns_job: &is_owned,
            owns_machine: &is_owned,
            place_gangs: controller.is_none_or(|n| n == 0),
            place_arrays: true,
            place_deadline_steps: true,
            forecast,
            write_limit: None,
        })
    }

    /// Returns the leader's scaling decision, without spot machines in place of on-demand ones.
    fn scaling_decision(
        &self,
        cluster_state: &ClusterState,
        forecast: &Schedule,
    ) -> ScalingDecision {
        let policy = Policy {
            use_spot: false,
            ..Policy::default()
        };
        decide(&CapacityForecast {
            view: cluster_state,
            schedule: forecast,
            policy: &policy,
            objectives: &[],
            teams: &self.teams,
            wall_clock: self.now,
            recently_refused: &|_, _, _| false,
            idle_since: &HashMap::new(),
            max_machines_per_request: 50,
            is_known_ready: &|_| false,
        })
    }

    /// Stages a controller's changes on its view; the store applies the transactions whose preconditions
    /// hold.
    fn stage_and_apply(&mut self, view: &ClusterState, changes: &[JobChange]) {
        for staged in stage(view, changes, &HashSet::new(), &|t| t == "capped", LIMITS) {
            self.store.apply(&staged.transaction);
        }
    }

    fn placed(view: &ClusterState, job: &str) -> u32 {
        view.jobs.get(job).map_or(0, |j| j.placed)
    }
}

fn used_cpus(view: &ClusterState, team: &str) -> i64 {
    view.indexes().teams.get(team).map_or(0, |r| r.cpus)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// For any queue, the CPUs of the tasks that the forecast cannot place for lack of capacity, together
    /// with those in use and those that it places, stay within the limit, and no more machines are added than
    /// these tasks fill.
    #[test]
    fn scale_out_stays_within_quota(
        machines in 0usize..6,
        limit in 20i64..200,
        jobs in proptest::collection::vec((0u8..3, 0u8..2, 1u32..200, 1i64..8, any::<bool>()), 1..12),
    ) {
        let mut cluster = TestCluster::new(machines, limit);
        for (index, (kind, job_priority, tasks, cpus, capped)) in jobs.iter().enumerate() {
            let kind = [JobKind::Array, JobKind::Gang, JobKind::Service][*kind as usize];
            let job_priority = match kind {
                JobKind::Service => Priority::Production,
                _ => [Priority::Normal, Priority::Low][*job_priority as usize],
            };
            let tasks = if kind == JobKind::Array { *tasks } else { tasks % 12 + 1 };
            cluster.job(&format!("req-{index:06}"), &job(if *capped { "capped" } else { "free" }, kind, job_priority, tasks, *cpus));
        }
        // Some tasks already run and use part of the limit.
        let view = cluster.view();
        let first = cluster.plan(&view, None, false).changes;
        cluster.stage_and_apply(&view, &first);
        let view = cluster.view();
        prop_assert!(used_cpus(&view, "capped") <= limit * THOUSANDTHS_PER_UNIT);
        let plan = cluster.plan(&view, None, true);
        let mut missing_cpus = 0;
        let mut machines_filled = 0.0;
        for (id, count) in &plan.unplaced_tasks {
            let spec = &view.jobs[id].spec;
            let tasks_per_machine = Resources::of_machine(&machine_type("cpu", 16.0, 0.0)).count_fitting(&spec.resources).max(1);
            machines_filled += f64::from(*count) / tasks_per_machine as f64;
            if spec.team == "capped" {
                missing_cpus += spec.resources.cpus * i64::from(*count);
            }
        }
        // The team's arrays yield quota to a waiting gang that the limit admits.
        let gangs = plan.unplaced_tasks.iter().any(|(id, _)| view.jobs[id].spec.kind == JobKind::Gang);
        prop_assert!(gangs || used_cpus(&view, "capped") + missing_cpus <= limit * THOUSANDTHS_PER_UNIT, "{missing_cpus}");
        let decision = cluster.scaling_decision(&view, &plan);
        let machines_added: u32 = decision.scale_out.iter().map(|c| c.count).sum();
        let starved: u32 = plan.starved_tasks.values().sum();
        // The capacity reserve for services comes on top: at most the size of the largest service.
        prop_assert!(f64::from(machines_added) <= machines_filled + f64::from(starved) + 8.0, "{machines_added} machines added, {machines_filled} needed");
    }
}

/// Tasks over a team's limit cause no scale-out. Previously, when the limit had room for one more task,
/// hundreds of machines were provisioned every 30 seconds for the rest of the backlog, and returned.
#[test]
fn a_backlog_over_quota_causes_no_scale_out() {
    let mut cluster = TestCluster::new(2, 32);
    cluster.job(
        "req-000001",
        &job("capped", JobKind::Array, Priority::Normal, 31, 1),
    );
    let view = cluster.view();
    let first = cluster.plan(&view, None, false).changes;
    cluster.stage_and_apply(&view, &first);
    let backlog = job("capped", JobKind::Array, Priority::Normal, 600, 1);
    cluster.job("req-000002", &backlog);
    cluster.job("req-000003", &backlog);
    let view = cluster.view();
    let plan = cluster.plan(&view, None, true);
    assert_eq!(plan.unplaced_tasks, vec![]);
    let limited: u32 = plan.quota_limited_tasks.values().sum();
    assert_eq!(limited, 1199, "the quota admits one more task");
    let id = "req-000003".into();
    let reason = pending_reason(&plan, &id, &view.jobs[&id], false, 0);
    assert_eq!(reason, Some((PendingReason::TeamLimit, 600)));
    let decision = cluster.scaling_decision(&view, &plan);
    assert_eq!(decision.scale_out, vec![]);
}

/// Jobs that come first keep quota free for their tasks. Previously, each CPU that became free at the limit
/// went to a small task, often placed by another controller, so that a service, a gang or a class with larger
/// tasks never found enough quota at once.
#[test]
fn quota_is_reserved_for_jobs_first_in_line() {
    // Waiting job, seconds since its submission, and how many of the 16 CPUs below the limit the small tasks
    // must leave free.
    let cases = [
        (
            job("capped", JobKind::Service, Priority::Production, 2, 4),
            0,
            8,
        ),
        (job("capped", JobKind::Gang, Priority::Normal, 3, 4), 41, 12),
        (job("capped", JobKind::Array, Priority::Low, 4, 16), 400, 16),
    ];
    for (waiting, age, reserved_cpus) in cases {
        let mut cluster = TestCluster::new(12, 64);
        cluster.job(
            "req-000001",
            &job("capped", JobKind::Array, Priority::Normal, 48, 1),
        );
        let view = cluster.view();
        let first = cluster.plan(&view, None, false).changes;
        cluster.stage_and_apply(&view, &first);
        let waiting = JobSpec {
            submitted_at: cluster.now - age * SECOND,
            image: "other".into(),
            ..waiting
        };
        cluster.job("req-000002", &waiting);
        let small = JobSpec {
            submitted_at: cluster.now,
            ..job("capped", JobKind::Array, Priority::Normal, 100, 1)
        };
        for number in 3..9 {
            cluster.job(&format!("req-{number:06}"), &small);
        }
        let view = cluster.view();
        // A controller that neither owns the waiting job nor places gangs, but owns some of the other jobs.
        let other = (1..3).find(|number| shard_of("req-000002") % 3 != *number);
        let plan = cluster.plan(&view, other, false);
        let started: usize = plan
            .changes
            .iter()
            .map(|change| match change {
                JobChange::Place { job, tasks } if &**job != "req-000002" => tasks.len(),
                _ => 0,
            })
            .sum();
        assert!(started > 0 || reserved_cpus == 16, "{:?}", waiting.kind);
        assert!(
            started <= 16 - reserved_cpus,
            "{:?}: {started}",
            waiting.kind
        );
        // The controller that owns the job places it.
        let plan = cluster.plan(&view, None, false);
        cluster.stage_and_apply(&view, &plan.changes);
        let view = cluster.view();
        assert!(
            TestCluster::placed(&view, "req-000002") > 0,
            "{:?} did not start",
            waiting.kind
        );
        assert!(used_cpus(&view, "capped") <= 64 * THOUSANDTHS_PER_UNIT);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    /// Three controllers place tasks concurrently, each on a stale view, while a team is at its limit and
    /// machines fail, several in one step. At no revision does the team exceed its limit; jobs of low
    /// priority start despite an endless backlog of normal priority; all services run at the end.
    #[test]
    fn quotas_hold_during_machine_failures(
        failures in proptest::collection::vec((5usize..60, 0usize..18), 2..12),
        seed in any::<u64>(),
    ) {
        let limit = 96;
        let mut cluster = TestCluster::new(18, limit);
        for number in 0..24 {
            cluster.job(&format!("req-1{number:05}"), &job("capped", JobKind::Array, Priority::Normal, 80, 1));
        }
        for number in 0..6 {
            cluster.job(&format!("req-2{number:05}"), &job("capped", JobKind::Array, Priority::Low, 20, 4));
        }
        for number in 0..5 {
            cluster.job(&format!("req-3{number:05}"), &job("free", JobKind::Array, Priority::Normal, 100, 1));
        }
        let mut views: Vec<ClusterState> = (0..3).map(|_| ClusterState::default()).collect();
        let mut current = ClusterState::default();
        let mut failed_machines: BTreeMap<MachineId, usize> = BTreeMap::new();
        let mut low_starts = 0;
        for step in 0..80 {
            cluster.now += SECOND;
            if step == 20 {
                for number in 0..4 {
                    cluster.job(&format!("req-4{number:05}"), &job("capped", JobKind::Service, Priority::Production, 3, 2));
                }
            }
            for (_, machine) in failures.iter().filter(|x| x.0 == step) {
                failed_machines.entry(format!("m-{machine:06}").as_str().into()).or_insert(step);
            }
            for (controller, view) in views.iter_mut().enumerate() {
                let lag = stable_hash(&format!("{seed}/{step}/{controller}")) % 6;
                cluster.catch_up(view, cluster.store.rev.saturating_sub(lag).max(view.revision));
            }
            for controller in 0..3u32 {
                let view = &views[controller as usize];
                let mut changes = Vec::new();
                for (machine, tasks) in &view.tasks_by_machine {
                    if shard_of(machine) % 3 != controller {
                        continue;
                    }
                    // Tasks on a failed machine have ended once the cloud has reclaimed it.
                    let removed = failed_machines.get(machine).map(|at| step > at + 3);
                    for ((id, index), placement) in tasks {
                        let service = view.jobs[id].spec.kind == JobKind::Service;
                        let draw = stable_hash(&format!("{seed}/{step}/{id}/{index}")) % 5;
                        let done = removed.is_none() && !service && draw == 0;
                        if done || removed == Some(true) {
                            let (job, attempt) = (id.clone(), placement.attempt);
                            changes.push(JobChange::AttemptEnded { job, index: *index, attempt, done });
                        }
                    }
                }
                changes.extend(cluster.plan(view, Some(controller), false).changes);
                let staged_changes = stage(view, &changes, &HashSet::new(), &|t| t == "capped", LIMITS);
                for staged in staged_changes {
                    cluster.store.apply(&staged.transaction);
                    cluster.catch_up(&mut current, u64::MAX);
                    prop_assert!(used_cpus(&current, "capped") <= limit * THOUSANDTHS_PER_UNIT, "{}", used_cpus(&current, "capped"));
                }
            }
            // Failed machines without tasks are removed.
            for (machine, at) in &failed_machines {
                if step > at + 4 && current.tasks_on(machine).is_none() && current.machines.contains_key(machine) {
                    let transaction = coppergw::wire::state::Transaction {
                        preconditions: vec![],
                        mutations: vec![coppergw::wire::state::Mutation::Delete { key: keys::machine(machine) }],
                    };
                    cluster.store.apply(&transaction);
                }
            }
            cluster.catch_up(&mut current, u64::MAX);
            low_starts = current.jobs.iter().filter(|(id, _)| id.starts_with("req-2")).map(|(_, job)| {
                job.task_states().filter(|(_, s)| !matches!(s, TaskState::Waiting(0))).count()
            }).sum();
        }
        prop_assert!(low_starts >= 6, "only {low_starts} starts of low priority");
        for number in 0..4 {
            let id = format!("req-4{number:05}");
            prop_assert_eq!(TestCluster::placed(&current, &id), 3, "service {} has waiting tasks", number);
        }
        common::indexed(&current);
    }
}

/// A team is at its limit, its job is cancelled, and some of the machines cannot be reached when the owner of
/// their shards changes. Tasks that may still run there count towards the limit for every later owner,
/// although they were cancelled, and their quota is released task by task.
#[test]
fn cancelled_tasks_count_until_they_end() {
    let mut cluster = TestCluster::new(3, 4);
    let placed = |machine: &str| {
        TaskState::Placed(coppergw::jobs::model::Placement {
            attempt: 1,
            machine: machine.into(),
            session: 1,
            stop_grace_period: None,
        })
    };
    let cancelled_job = JobSpec {
        cancelled: true,
        submitted_at: 1,
        ..job("capped", JobKind::Array, Priority::Normal, 4, 1)
    };
    let slots = ["m-000000", "m-000000", "m-000001", "m-000002"].map(placed);
    let record = JobRecord(cancelled_job, TaskBlock::from(slots.to_vec()));
    cluster.store.put(keys::job("req-000001"), &record);
    cluster.job(
        "req-000002",
        &job("capped", JobKind::Array, Priority::Normal, 9, 1),
    );
    for ended_tasks in 0..=4u32 {
        // Every shard has a new owner, with a higher term.
        for index in 0..SHARD_COUNT {
            let owner = format!("n{}", (index + ended_tasks) % 3);
            let shard = Shard {
                owner,
                lease: 2,
                term: 2 + u64::from(ended_tasks),
            };
            cluster.store.put(keys::shard(index), &shard);
        }
        let view = cluster.view();
        let plan = cluster.plan(&view, None, false);
        cluster.stage_and_apply(&view, &plan.changes);
        let view = cluster.view();
        assert_eq!(
            TestCluster::placed(&view, "req-000002"),
            ended_tasks,
            "as many tasks start as have ended"
        );
        assert!(used_cpus(&view, "capped") <= 4 * THOUSANDTHS_PER_UNIT);
        let ended = JobChange::AttemptEnded {
            job: "req-000001".into(),
            index: ended_tasks,
            attempt: 1,
            done: false,
        };
        cluster.stage_and_apply(&view, &[ended]);
    }
}

/// With more free capacity than gangs need, machines in use are cordoned so that the free ones are used
/// first. Previously, each decision cordoned as many again, until all machines in use were cordoned and
/// others were provisioned for the next gang.
#[test]
fn cordoned_gang_machines_are_bounded_by_free_ones() {
    let mut cluster = TestCluster::new(0, 0);
    let types = vec![
        machine_type("cpu", 16.0, 0.0),
        machine_type("gpu", 24.0, 2.0),
    ];
    cluster.store.put(keys::MACHINE_TYPES.into(), &types);
    let machine = |state| MachineRecord {
        machine_type: "gpu".into(),
        zone: "a".into(),
        spot: false,
        address: None,
        session: 1,
        state,
        provisioned_at: 0,
    };
    for index in 0..40 {
        cluster.store.put(
            keys::machine(&format!("m-{index:06}")),
            &machine(MachineState::Up),
        );
    }
    let gang = job("free", JobKind::Gang, Priority::Normal, 36, 21);
    let gang_resources = Resources {
        gpus: 2 * THOUSANDTHS_PER_UNIT,
        ..gang.resources
    };
    cluster.job(
        "req-000001",
        &JobSpec {
            resources: gang_resources,
            ..gang
        },
    );
    let view = cluster.view();
    let first = cluster.plan(&view, None, false).changes;
    cluster.stage_and_apply(&view, &first);
    let mut cordoned = 0;
    for _ in 0..5 {
        let view = cluster.view();
        assert_eq!(TestCluster::placed(&view, "req-000001"), 36);
        let decision = cluster.scaling_decision(&view, &cluster.plan(&view, None, true));
        for id in decision.cordon {
            cordoned += 1;
            cluster
                .store
                .put(keys::machine(&id), &machine(MachineState::Closing));
        }
    }
    assert!(cordoned <= 4, "{cordoned} machines cordoned, 4 are free");
}

/// A controller that missed part of the log reloads everything. Another leader may have counted the jobs that
/// ended in that gap: they are not counted again.
#[test]
fn job_ends_in_a_watch_gap_count_once() {
    let mut cluster = TestCluster::new(0, 0);
    cluster.job(
        "req-000001",
        &job("free", JobKind::Array, Priority::Low, 1, 1),
    );
    let mut view = cluster.view();
    view.retain_prefix("c/job/", &HashSet::new(), view.revision + 20);
    let ends: Vec<u64> = view.recent_job_ends().map(|e| e.revision).collect();
    assert_eq!(ends, vec![view.revision + 1]);
    let other_leader = ServiceLevels {
        revision: view.revision + 8,
        ..ServiceLevels::default()
    };
    let next =
        other_leader.with_job_ends(view.recent_job_ends().cloned(), view.revision + 20, 1000);
    assert!(next.ended.is_empty());
}
