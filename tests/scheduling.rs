//! Scheduling on generated clusters: every schedule keeps the rules of the platform.

mod common;

use common::LIMITS;
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::fairness::{PriorityBoost, PriorityBoosts};
use coppergw::jobs::commit::{JobChange, TransactionLimits, stage};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, Resources, TaskBlock};
use coppergw::membership::{SHARD_COUNT, Shard};
use coppergw::scheduling::{
    SchedulableMachine, SchedulingInput, Writes, machine_allowed, schedule,
};
use coppergw::settings::Team;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::Mutation;
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

const CAP: i64 = 6000;

fn types() -> Vec<MachineType> {
    [("big", 8.0, 2.0), ("small", 4.0, 0.0)]
        .map(|(sku, cores, gpus)| MachineType {
            name: sku.into(),
            cpus: cores,
            gpus,
            memory_gb: 32.0,
            image_cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price_per_hour: 1.0,
            spot_price_per_hour: Some(0.4),
            boot_time_s: 10.0,
            zones: vec!["a".into(), "b".into(), "c".into()],
        })
        .to_vec()
}

fn teams() -> Vec<Team> {
    let team = |name: &str, cpus, cpus_max| Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0,
        gpus_max: 0,
    };
    vec![
        team("free", 0, 0),
        team("capped", 0, CAP),
        team("owed", 4000, 0),
    ]
}

fn machine() -> impl Strategy<Value = MachineRecord> {
    (0usize..2, 0usize..3, any::<bool>(), 0u8..8).prop_map(|(kind, zone, spot, st)| MachineRecord {
        machine_type: ["big", "small"][kind].into(),
        zone: ["a", "b", "c"][zone].into(),
        spot,
        address: None,
        session: 1,
        state: match st {
            0 => MachineState::Draining,
            1 => MachineState::Booting,
            2 => MachineState::Closing,
            _ => MachineState::Up,
        },
        rented_at: 0,
    })
}

fn spec() -> impl Strategy<Value = JobSpec> {
    (
        (0usize..3, 0usize..4, 1u32..7, 1i64..5, 0i64..3),
        (any::<bool>(), any::<bool>(), any::<bool>()),
        (0usize..3, 0u8..4, 0u8..4, 0u64..100),
    )
        .prop_map(
            |((kind, rank, tasks, cpus, gpus), (one, spread, spot), (team, ty, zone, at))| {
                JobSpec {
                    class: "c".into(),
                    team: ["free", "capped", "owed"][team].into(),
                    kind: [JobKind::Array, JobKind::Gang, JobKind::Service][kind],
                    priority: [
                        Priority::Production,
                        Priority::High,
                        Priority::Normal,
                        Priority::Low,
                    ][rank],
                    task_count: tasks,
                    resources: Resources {
                        cpus: cpus * 1000,
                        gpus: if gpus == 2 { 1000 } else { 0 },
                        memory: 3000,
                    },
                    image: format!("i{at}"),
                    image_size: 1,
                    machine_types: match ty {
                        0 => Some(vec!["small".into()]),
                        1 => Some(vec!["big".into()]),
                        _ => None,
                    },
                    zone: (zone == 0).then(|| "b".into()),
                    single_zone: one && !spread,
                    zone_spread: spread,
                    allow_spot: spot,
                    estimated_run_time: 10 * SECOND,
                    checkpoint_interval: 0,
                    checkpoint_save_time: 0,
                    deadline: None,
                    submitted_at: at * SECOND,
                    cancelled: false,
                    dependencies: Default::default(),
                }
            },
        )
}

fn record(s: &JobSpec) -> ciborium::Value {
    to_value(&JobRecord(s.clone(), TaskBlock::default()))
}

fn schedule_changes(v: &ClusterState) -> Vec<JobChange> {
    schedule_with_limit(v, None)
}

fn schedule_with_limit(v: &ClusterState, writes: Option<Writes<'_>>) -> Vec<JobChange> {
    let teams = teams();
    schedule(&SchedulingInput {
        view: v,
        wall_clock: 500 * SECOND,
        teams: &teams,
        objectives: &[],
        schedulable: &|_, h| {
            (h.state == MachineState::Up).then_some(SchedulableMachine {
                session: h.session,
                owned: true,
            })
        },
        freed: &HashMap::new(),
        in_backoff: &|_| false,
        owns_job: &|_| true,
        owns_machine: &|_| true,
        place_gangs: true,
        place_arrays: true,
        place_deadline_steps: true,
        forecast: false,
        write_limit: writes,
    })
    .changes
}

fn check(v: &ClusterState) -> Result<(), TestCaseError> {
    let types = &v.machine_types;
    let mut used = 0;
    for (id, j) in &v.jobs {
        let s = &j.spec;
        let mut zones: HashMap<&str, u32> = HashMap::new();
        let mut attempts = HashSet::new();
        for (_, p) in j.placements() {
            let h = &v.machines[&p.machine];
            prop_assert!(machine_allowed(s, h), "wrong_place: {id} on {}", p.machine);
            prop_assert!(h.state == MachineState::Up, "placed on {:?}", h.state);
            *zones.entry(&h.zone).or_default() += 1;
            attempts.insert(p.attempt);
            if s.team == "capped" {
                used += s.resources.cpus;
            }
        }
        prop_assert!(!s.single_zone || zones.len() <= 1, "{id} in two zones");
        let most = zones.values().copied().max().unwrap_or(0);
        prop_assert!(
            !s.zone_spread || most <= s.task_count.div_ceil(2),
            "{id} not spread"
        );
        if s.kind == JobKind::Gang {
            prop_assert!(j.placed == 0 || j.placed == s.task_count, "half a gang");
            prop_assert!(attempts.len() <= 1, "a gang with two attempts");
        }
    }
    prop_assert!(used <= CAP, "quota");
    for (id, h) in &v.machines {
        let mut free = Resources::of_machine(&types[&h.machine_type]);
        for (job, _) in v.tasks_on(id).into_iter().flat_map(|t| t.keys()) {
            free.subtract(&v.jobs[job].spec.resources);
        }
        prop_assert!(
            free.fits(&Resources::default()),
            "no room left on {id}: {free:?}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn plans_keep_the_rules(
        machines in proptest::collection::vec(machine(), 1..12),
        specs in proptest::collection::vec(spec(), 1..14),
    ) {
        let mut v = ClusterState::default();
        let mut rev = 1;
        let mut put = |v: &mut ClusterState, k: &str, x: &ciborium::Value| {
            rev += 1;
            v.put(k, x, rev);
        };
        put(&mut v, keys::TYPES, &to_value(&types()));
        for n in 0..SHARD_COUNT {
            let p = Shard { owner: "n".into(), lease: 1, term: 1 };
            put(&mut v, &keys::shard(n), &to_value(&p));
        }
        for (i, h) in machines.iter().enumerate() {
            put(&mut v, &keys::machine(&format!("m-{i:06}")), &to_value(h));
        }
        for (i, s) in specs.iter().enumerate() {
            put(&mut v, &keys::job(&format!("req-{i}")), &record(s));
        }
        let limits = TransactionLimits { max_mutations: 16, max_merged_mutations: 16, max_bytes: 48_000 , max_value_bytes: 32_000, newer_layout: false, packed: false, wall_clock: 0};
        for _ in 0..4 {
            let intents = schedule_changes(&v);
            let staged = stage(&v, &intents, &HashSet::new(), &|t| t == "capped", limits);
            for s in staged {
                prop_assert!(s.transaction.mutations.len() <= 16 && s.transaction.preconditions.len() <= 64);
                // As the state service: all conditions or nothing.
                if s.transaction.preconditions.iter().any(|g| v.version(&g.key) != g.version) {
                    continue;
                }
                rev += 1;
                for c in &s.transaction.mutations {
                    match c {
                        Mutation::Put { key: put, value: x, .. } => v.put(put, x, rev),
                        Mutation::Delete { key: remove } => v.delete(remove, rev),
                    }
                }
            }
            check(&v)?;
        }
    }
}

/// A service waits, lower work holds the machine: it makes way, equal work does not.
#[test]
fn lower_work_makes_way_for_services() {
    let build = |rank| {
        let mut v = ClusterState::default();
        v.put(keys::TYPES, &to_value(&types()), 1);
        let h = common::up("small");
        v.put(&keys::machine("m-1"), &to_value(&h), 2);
        let base = JobSpec {
            team: "free".into(),
            priority: rank,
            resources: Resources {
                cpus: 4000,
                gpus: 0,
                memory: 1000,
            },
            ..common::spec(JobKind::Array, 1)
        };
        v.put(&keys::job("req-1"), &record(&base), 3);
        let intents = schedule_changes(&v);
        let staged = stage(&v, &intents, &HashSet::new(), &|_| false, LIMITS);
        for c in &staged[0].transaction.mutations {
            if let Mutation::Put {
                key: put, value: x, ..
            } = c
            {
                v.put(put, x, 4);
            }
        }
        let service = JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            submitted_at: 2,
            ..base
        };
        v.put(&keys::job("req-2"), &record(&service), 5);
        schedule_changes(&v)
    };
    let stops = build(Priority::Low);
    assert!(
        matches!(stops.as_slice(), [JobChange::Stop { job, .. }] if &**job == "req-1"),
        "{stops:?}"
    );
    assert_eq!(build(Priority::Production), vec![]);
}

/// A gang on a machine that is about to be taken is stopped as a whole, each task with time to save;
/// a gang that lost a task is stopped at once; and a gang completes together.
#[expect(
    clippy::too_many_lines,
    reason = "one history of a gang, not split into steps yet"
)]
#[test]
fn gangs_stop_and_complete_together() {
    let mut v = ClusterState::default();
    let mut rev = 0;
    let mut put = |v: &mut ClusterState, k: String, x: ciborium::Value| {
        rev += 1;
        v.put(&k, &x, rev);
    };
    put(&mut v, keys::TYPES.into(), to_value(&types()));
    let machine = |state| MachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: true,
        address: None,
        session: 1,
        state,
        rented_at: 0,
    };
    for id in ["m-1", "m-2"] {
        put(
            &mut v,
            keys::machine(id),
            to_value(&machine(MachineState::Up)),
        );
    }
    let spec = JobSpec {
        team: "free".into(),
        resources: Resources {
            cpus: 3000,
            gpus: 0,
            memory: 1000,
        },
        single_zone: true,
        checkpoint_interval: 5 * SECOND,
        checkpoint_save_time: 2 * SECOND,
        ..common::spec(JobKind::Gang, 2)
    };
    put(&mut v, keys::job("req-1"), record(&spec));
    let changes = |v: &ClusterState, intents: &[JobChange]| {
        let staged = stage(v, intents, &HashSet::new(), &|_| false, LIMITS);
        staged
            .into_iter()
            .flat_map(|s| s.transaction.mutations)
            .collect::<Vec<_>>()
    };
    let placed = changes(&v, &schedule_changes(&v));
    for c in placed {
        if let Mutation::Put {
            key: k, value: x, ..
        } = c
        {
            put(&mut v, k, x);
        }
    }
    assert_eq!(v.jobs["req-1"].placed, 2);
    assert_eq!(schedule_changes(&v), vec![], "nothing to do while it runs");

    let job: coppergw::jobs::model::JobId = "req-1".into();
    let done = changes(
        &v,
        &[JobChange::AttemptEnded {
            job: job.clone(),
            index: 0,
            attempt: 1,
            done: true,
        }],
    );
    let ends = |c: &Mutation| matches!(c, Mutation::Put { key: put, .. } if *put == keys::finished_job("req-1"));
    assert!(done.iter().any(ends), "one done, all done: {done:?}");

    put(
        &mut v,
        keys::machine("m-2"),
        to_value(&machine(MachineState::Draining)),
    );
    let graces: Vec<_> = schedule_changes(&v)
        .into_iter()
        .map(|i| match i {
            JobChange::Stop { index, grace, .. } => (index, grace),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(
        graces,
        vec![
            (0, spec.checkpoint_save_time),
            (1, spec.checkpoint_save_time)
        ]
    );

    put(
        &mut v,
        keys::machine("m-2"),
        to_value(&machine(MachineState::Up)),
    );
    let lost = changes(
        &v,
        &[JobChange::AttemptEnded {
            job,
            index: 1,
            attempt: 1,
            done: false,
        }],
    );
    for c in lost {
        if let Mutation::Put {
            key: k, value: x, ..
        } = c
        {
            put(&mut v, k, x);
        }
    }
    let stops = schedule_changes(&v);
    assert!(
        matches!(
            stops.as_slice(),
            [JobChange::Stop {
                index: 0,
                grace: 0,
                ..
            }]
        ),
        "no half gang, and no new attempt before the old one left: {stops:?}"
    );
}

/// A plan for so many jobs begins as the whole plan does; jobs with a transaction under way are planned
/// for, so that nobody takes their room, and do not count. Arrays, which are written last, never use up
/// what services could have.
#[test]
fn a_plan_for_few_writes_is_the_beginning_of_the_whole() {
    let mut v = ClusterState::default();
    v.put(keys::TYPES, &to_value(&types()), 1);
    for k in 0..20 {
        let h = common::up("small");
        v.put(&keys::machine(&format!("m-{k:02}")), &to_value(&h), 2 + k);
    }
    for k in 0..20u64 {
        let kind = if k < 10 {
            JobKind::Service
        } else {
            JobKind::Array
        };
        let s = JobSpec {
            submitted_at: k * SECOND,
            // Arrays before services in the queue.
            priority: if k < 10 {
                Priority::Low
            } else {
                Priority::Normal
            },
            team: "free".into(),
            ..common::spec(kind, 1)
        };
        v.put(&keys::job(&format!("req-{k:02}")), &record(&s), 50 + k);
    }
    let placed = |list: &[JobChange], kind: JobKind| -> Vec<JobId> {
        let jobs = list.iter().map(|i| i.job());
        let of = jobs.filter(|j| v.jobs[*j].spec.kind == kind);
        of.cloned().collect()
    };
    let whole = schedule_changes(&v);
    let services = placed(&whole, JobKind::Service);
    let arrays = placed(&whole, JobKind::Array);
    assert_eq!((services.len(), arrays.len()), (10, 10));
    let few =
        |jobs, busy: &dyn Fn(&JobId) -> bool| schedule_with_limit(&v, Some(Writes { jobs, busy }));
    let some = few(3, &|_| false);
    assert_eq!(placed(&some, JobKind::Array), arrays[..3]);
    assert_eq!(placed(&some, JobKind::Service), services[..3]);
    let first = services[0].clone();
    let more = few(3, &|j| *j == first);
    assert_eq!(placed(&more, JobKind::Service), services[..4]);
}

/// A view of one machine with 4 CPUs, and jobs with so many tasks that were submitted so long ago.
fn waiting(kind: JobKind, jobs: &[(u32, u64)]) -> ClusterState {
    let mut v = ClusterState::default();
    v.put(keys::TYPES, &to_value(&types()), 1);
    let shard = Shard {
        owner: "n".into(),
        lease: 1,
        term: 1,
    };
    (0..SHARD_COUNT).for_each(|n| v.put(&keys::shard(n), &to_value(&shard), 2));
    v.put(
        &keys::machine("m-000000"),
        &to_value(&common::up("small")),
        3,
    );
    for (k, (tasks, age)) in jobs.iter().enumerate() {
        let s = JobSpec {
            submitted_at: (500 - age) * SECOND,
            team: "free".into(),
            ..common::spec(kind, *tasks)
        };
        v.put(&keys::job(&format!("req-{k}")), &record(&s), 4);
    }
    v
}

/// What each job gets, in the order of the plan.
fn given(v: &ClusterState) -> Vec<(String, usize)> {
    let list = schedule_changes(v).into_iter();
    list.filter_map(|i| match i {
        JobChange::Place { job, tasks } => Some((job.to_string(), tasks.len())),
        _ => None,
    })
    .collect()
}

/// The job with the least work goes first, and so the largest of a class never, while smaller ones come. After a
/// while one task of it does, and no more: the others still go by their work.
#[test]
fn the_largest_begins_although_smaller_ones_come() {
    let small = [(3, 100), (2, 90), (4, 80)];
    let with = |large| {
        let mut jobs = vec![large];
        jobs.extend(small);
        given(&waiting(JobKind::Array, &jobs))
    };
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(with((300, 110)), [job(2, 2), job(1, 2)]);
    assert_eq!(with((300, 130)), [job(0, 1), job(2, 2), job(1, 1)]);
    // Several of them: the oldest first.
    let two = waiting(JobKind::Array, &[(300, 130), (300, 140), (1, 10)]);
    assert_eq!(given(&two)[..2], [job(1, 1), job(0, 1)]);
    // One that has begun waits for its turn.
    let mut v = waiting(JobKind::Array, &[(300, 130), (4, 80)]);
    let mut b = TaskBlock(vec![coppergw::jobs::model::TaskState::Waiting(0); 256]);
    b.0[0] = coppergw::jobs::model::TaskState::Waiting(1);
    let s = v.jobs["req-0"].spec.as_ref().clone();
    v.put(&keys::job("req-0"), &to_value(&JobRecord(s, b)), 9);
    assert_eq!(given(&v), [job(1, 4)]);
}

/// Gangs go by their work, however long one has waited: behind the oldest, for which there is no room, all would wait.
#[test]
fn a_large_gang_keeps_no_small_one_waiting() {
    let with = |age| given(&waiting(JobKind::Gang, &[(4, age), (2, 30), (1, 20)]));
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(with(40), [job(2, 1), job(1, 2)]);
    assert_eq!(with(130), [job(2, 1), job(1, 2)]);
}

/// A job of which a part is raised stands in the queue twice. Together they keep to its zones: each took the half that
/// may be in one, and all of it was there.
#[test]
fn a_job_in_two_entries_keeps_to_its_zones() {
    for kind in [JobKind::Service, JobKind::Array] {
        let mut v = waiting(kind, &[(4, 10)]);
        let s = JobSpec {
            zone_spread: true,
            ..v.jobs["req-0"].spec.as_ref().clone()
        };
        v.put(&keys::job("req-0"), &record(&s), 9);
        let priority_boosts =
            BTreeMap::from([("req-0".to_string(), PriorityBoost { tasks: 2, level: 1 })]);
        let priority_boosts = PriorityBoosts {
            jobs: priority_boosts,
        };
        v.put(keys::PRIORITY_BOOSTS, &to_value(&priority_boosts), 10);
        let n: usize = given(&v).iter().map(|x| x.1).sum();
        assert_eq!(
            n, 2,
            "{kind:?}: at most half in the only zone with machines"
        );
    }
}
