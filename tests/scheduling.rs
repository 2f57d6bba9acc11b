//! Scheduling on generated clusters: every schedule satisfies the constraints of the platform.

mod common;

use common::LIMITS;
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::fairness::{PriorityBoost, PriorityBoosts};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, TransactionLimits, stage};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, Resources, TaskBlock};
use coppergw::membership::{SHARD_COUNT, Shard};
use coppergw::scheduling::{
    SchedulableMachine, SchedulingInput, WriteLimit, machine_allowed, schedule,
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

/// Limit of the team `capped`.
const TEAM_LIMIT_MILLICPUS: i64 = 6000;

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
        team("capped", 0, TEAM_LIMIT_MILLICPUS),
        team("owed", 4000, 0),
    ]
}

fn machine() -> impl Strategy<Value = MachineRecord> {
    (0usize..2, 0usize..3, any::<bool>(), 0u8..8).prop_map(|(kind, zone, spot, state)| {
        MachineRecord {
            machine_type: ["big", "small"][kind].into(),
            zone: ["a", "b", "c"][zone].into(),
            spot,
            address: None,
            session: 1,
            state: match state {
                0 => MachineState::Draining,
                1 => MachineState::Booting,
                2 => MachineState::Closing,
                _ => MachineState::Up,
            },
            provisioned_at: 0,
        }
    })
}

fn spec() -> impl Strategy<Value = JobSpec> {
    (
        (0usize..3, 0usize..4, 1u32..7, 1i64..5, 0i64..3),
        (any::<bool>(), any::<bool>(), any::<bool>()),
        (0usize..3, 0u8..4, 0u8..4, 0u64..100),
    )
        .prop_map(
            |(
                (kind, job_priority, tasks, cpus, gpus),
                (single, spread, spot),
                (team, type_choice, zone, submitted_s),
            )| {
                JobSpec {
                    class: "c".into(),
                    team: ["free", "capped", "owed"][team].into(),
                    kind: [JobKind::Array, JobKind::Gang, JobKind::Service][kind],
                    priority: [
                        Priority::Production,
                        Priority::High,
                        Priority::Normal,
                        Priority::Low,
                    ][job_priority],
                    task_count: tasks,
                    resources: Resources {
                        cpus: cpus * 1000,
                        gpus: if gpus == 2 { 1000 } else { 0 },
                        memory: 3000,
                        heartbeat_bytes: 0,
                    },
                    image: format!("i{submitted_s}"),
                    image_size: 1,
                    machine_types: match type_choice {
                        0 => Some(vec!["small".into()]),
                        1 => Some(vec!["big".into()]),
                        _ => None,
                    },
                    zone: (zone == 0).then(|| "b".into()),
                    single_zone: single && !spread,
                    zone_spread: spread,
                    allow_spot: spot,
                    estimated_run_time: 10 * SECOND,
                    checkpoint_interval: 0,
                    checkpoint_save_time: 0,
                    deadline: None,
                    submitted_at: submitted_s * SECOND,
                    cancelled: false,
                    dependencies: Default::default(),
                }
            },
        )
}

fn record(s: &JobSpec) -> ciborium::Value {
    to_value(&JobRecord(s.clone(), TaskBlock::default()))
}

fn schedule_changes(view: &ClusterState) -> Vec<JobChange> {
    schedule_limited(view, None)
}

fn schedule_limited(
    cluster_state: &ClusterState,
    writes: Option<WriteLimit<'_>>,
) -> Vec<JobChange> {
    let teams = teams();
    let schedulable = |_: &MachineId, machine: &MachineRecord| {
        (machine.state == MachineState::Up).then_some(SchedulableMachine {
            session: machine.session,
            owned: true,
        })
    };
    let released = HashMap::new();
    schedule(&SchedulingInput {
        teams: &teams,
        write_limit: writes,
        ..SchedulingInput::of_whole_cluster(cluster_state, 500 * SECOND, &schedulable, &released)
    })
    .changes
}

fn check(view: &ClusterState) -> Result<(), TestCaseError> {
    let types = &view.machine_types;
    let mut used = 0;
    for (id, job) in &view.jobs {
        let spec = &job.spec;
        let mut zones: HashMap<&str, u32> = HashMap::new();
        let mut attempts = HashSet::new();
        for (_, placement) in job.placements() {
            let machine = &view.machines[&placement.machine];
            prop_assert!(
                machine_allowed(spec, machine),
                "wrong_place: {id} on {}",
                placement.machine
            );
            prop_assert!(
                machine.state == MachineState::Up,
                "placed on {:?}",
                machine.state
            );
            *zones.entry(&machine.zone).or_default() += 1;
            attempts.insert(placement.attempt);
            if spec.team == "capped" {
                used += spec.resources.cpus;
            }
        }
        prop_assert!(
            !spec.single_zone || zones.len() <= 1,
            "{id} is in two zones"
        );
        let max_in_zone = zones.values().copied().max().unwrap_or(0);
        prop_assert!(
            !spec.zone_spread || max_in_zone <= spec.task_count.div_ceil(2),
            "{id} is not spread"
        );
        if spec.kind == JobKind::Gang {
            prop_assert!(
                job.placed == 0 || job.placed == spec.task_count,
                "a gang is partly placed"
            );
            prop_assert!(attempts.len() <= 1, "a gang has two attempts");
        }
    }
    prop_assert!(used <= TEAM_LIMIT_MILLICPUS, "quota");
    for (id, machine) in &view.machines {
        let mut free = Resources::of_machine(&types[&machine.machine_type]);
        for (job, _) in view.tasks_on(id).into_iter().flat_map(|t| t.keys()) {
            free.subtract(&view.jobs[job].spec.resources);
        }
        prop_assert!(
            free.fits(&Resources::default()),
            "machine {id} is overcommitted: {free:?}"
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
    fn schedules_keep_the_constraints(
        machines in proptest::collection::vec(machine(), 1..12),
        specs in proptest::collection::vec(spec(), 1..14),
    ) {
        let mut view = ClusterState::default();
        let mut revision = 1;
        let mut put = |view: &mut ClusterState, key: &str, value: &ciborium::Value| {
            revision += 1;
            view.put(key, value, revision);
        };
        put(&mut view, keys::MACHINE_TYPES, &to_value(&types()));
        for index in 0..SHARD_COUNT {
            let shard = Shard { owner: "n".into(), lease: 1, term: 1 };
            put(&mut view, &keys::shard(index), &to_value(&shard));
        }
        for (index, machine) in machines.iter().enumerate() {
            put(&mut view, &keys::machine(&format!("m-{index:06}")), &to_value(machine));
        }
        for (index, spec) in specs.iter().enumerate() {
            put(&mut view, &keys::job(&format!("req-{index}")), &record(spec));
        }
        let limits = TransactionLimits { max_mutations: 16, max_merged_mutations: 16, max_bytes: 48_000 , max_value_bytes: 32_000, write_newer_layout: false, write_packed_blocks: false, wall_clock: 0};
        for _ in 0..4 {
            let changes = schedule_changes(&view);
            let staged_transactions = stage(&view, &changes, &HashSet::new(), &|t| t == "capped", limits);
            for staged in staged_transactions {
                prop_assert!(staged.transaction.mutations.len() <= 16 && staged.transaction.preconditions.len() <= 64);
                // As in the state service, a transaction is applied only if all its preconditions hold.
                if staged.transaction.preconditions.iter().any(|g| view.version(&g.key) != g.version) {
                    continue;
                }
                revision += 1;
                for mutation in &staged.transaction.mutations {
                    match mutation {
                        Mutation::Put { key: written_key, value: new_value, .. } => view.put(written_key, new_value, revision),
                        Mutation::Delete { key: deleted_key } => view.delete(deleted_key, revision),
                    }
                }
            }
            check(&view)?;
        }
    }
}

/// A waiting service preempts a task of lower priority that occupies the machine, but none of equal priority.
#[test]
fn services_preempt_lower_priorities() {
    let changes_for_service = |job_priority| {
        let mut view = ClusterState::default();
        view.put(keys::MACHINE_TYPES, &to_value(&types()), 1);
        let machine = common::up("small");
        view.put(&keys::machine("m-1"), &to_value(&machine), 2);
        let running_job = JobSpec {
            team: "free".into(),
            priority: job_priority,
            resources: Resources {
                cpus: 4000,
                gpus: 0,
                memory: 1000,
                heartbeat_bytes: 0,
            },
            ..common::spec(JobKind::Array, 1)
        };
        view.put(&keys::job("req-1"), &record(&running_job), 3);
        let changes = schedule_changes(&view);
        let staged = stage(&view, &changes, &HashSet::new(), &|_| false, LIMITS);
        for mutation in &staged[0].transaction.mutations {
            if let Mutation::Put {
                key: written_key,
                value: new_value,
                ..
            } = mutation
            {
                view.put(written_key, new_value, 4);
            }
        }
        let service = JobSpec {
            kind: JobKind::Service,
            priority: Priority::Production,
            submitted_at: 2,
            ..running_job
        };
        view.put(&keys::job("req-2"), &record(&service), 5);
        schedule_changes(&view)
    };
    let stops = changes_for_service(Priority::Low);
    assert!(
        matches!(stops.as_slice(), [JobChange::Stop { job, .. }] if &**job == "req-1"),
        "{stops:?}"
    );
    assert_eq!(changes_for_service(Priority::Production), vec![]);
}

/// A gang with a task on a draining machine is stopped as a whole, each task with time to save; a gang that
/// lost a task is stopped immediately; and all tasks of a gang complete together.
#[expect(
    clippy::too_many_lines,
    reason = "one sequence of events of a gang, not split into steps yet"
)]
#[test]
fn gangs_stop_and_complete_together() {
    let mut view = ClusterState::default();
    let mut revision = 0;
    let mut put = |view: &mut ClusterState, key: String, value: ciborium::Value| {
        revision += 1;
        view.put(&key, &value, revision);
    };
    put(&mut view, keys::MACHINE_TYPES.into(), to_value(&types()));
    let machine = |state| MachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: true,
        address: None,
        session: 1,
        state,
        provisioned_at: 0,
    };
    for id in ["m-1", "m-2"] {
        put(
            &mut view,
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
            heartbeat_bytes: 0,
        },
        single_zone: true,
        checkpoint_interval: 5 * SECOND,
        checkpoint_save_time: 2 * SECOND,
        ..common::spec(JobKind::Gang, 2)
    };
    put(&mut view, keys::job("req-1"), record(&spec));
    let changes = |view: &ClusterState, job_changes: &[JobChange]| {
        let staged = stage(view, job_changes, &HashSet::new(), &|_| false, LIMITS);
        staged
            .into_iter()
            .flat_map(|s| s.transaction.mutations)
            .collect::<Vec<_>>()
    };
    let placed = changes(&view, &schedule_changes(&view));
    for mutation in placed {
        if let Mutation::Put {
            key: written_key,
            value: new_value,
            ..
        } = mutation
        {
            put(&mut view, written_key, new_value);
        }
    }
    assert_eq!(view.jobs["req-1"].placed, 2);
    assert_eq!(
        schedule_changes(&view),
        vec![],
        "a running gang needs no changes"
    );

    let job: coppergw::jobs::model::JobId = "req-1".into();
    let done = changes(
        &view,
        &[JobChange::AttemptEnded {
            job: job.clone(),
            index: 0,
            attempt: 1,
            done: true,
        }],
    );
    let is_finished_job = |mutation: &Mutation| matches!(mutation, Mutation::Put { key: written_key, .. } if *written_key == keys::finished_job("req-1"));
    assert!(
        done.iter().any(is_finished_job),
        "one finished task finishes the gang: {done:?}"
    );

    put(
        &mut view,
        keys::machine("m-2"),
        to_value(&machine(MachineState::Draining)),
    );
    let graces: Vec<_> = schedule_changes(&view)
        .into_iter()
        .map(|change| match change {
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
        &mut view,
        keys::machine("m-2"),
        to_value(&machine(MachineState::Up)),
    );
    let lost = changes(
        &view,
        &[JobChange::AttemptEnded {
            job,
            index: 1,
            attempt: 1,
            done: false,
        }],
    );
    for mutation in lost {
        if let Mutation::Put {
            key: written_key,
            value: new_value,
            ..
        } = mutation
        {
            put(&mut view, written_key, new_value);
        }
    }
    let stops = schedule_changes(&view);
    assert!(
        matches!(
            stops.as_slice(),
            [JobChange::Stop {
                index: 0,
                grace: 0,
                ..
            }]
        ),
        "the rest of the gang stops, and no new attempt starts before the old one has ended: {stops:?}"
    );
}

/// A schedule limited to a number of jobs equals the beginning of the full schedule. Jobs with a transaction
/// in flight are scheduled, so that their capacity stays reserved, and do not count towards the number.
/// Arrays, which are written last, never use up the share of services.
#[test]
fn a_write_limited_schedule_is_a_prefix() {
    let mut view = ClusterState::default();
    view.put(keys::MACHINE_TYPES, &to_value(&types()), 1);
    for index in 0..20 {
        let machine = common::up("small");
        view.put(
            &keys::machine(&format!("m-{index:02}")),
            &to_value(&machine),
            2 + index,
        );
    }
    for index in 0..20u64 {
        let kind = if index < 10 {
            JobKind::Service
        } else {
            JobKind::Array
        };
        let spec = JobSpec {
            submitted_at: index * SECOND,
            // Arrays come before services in the queue.
            priority: if index < 10 {
                Priority::Low
            } else {
                Priority::Normal
            },
            team: "free".into(),
            ..common::spec(kind, 1)
        };
        view.put(
            &keys::job(&format!("req-{index:02}")),
            &record(&spec),
            50 + index,
        );
    }
    let placed = |list: &[JobChange], kind: JobKind| -> Vec<JobId> {
        let jobs = list.iter().map(|i| i.job());
        let matching = jobs.filter(|j| view.jobs[*j].spec.kind == kind);
        matching.cloned().collect()
    };
    let full = schedule_changes(&view);
    let services = placed(&full, JobKind::Service);
    let arrays = placed(&full, JobKind::Array);
    assert_eq!((services.len(), arrays.len()), (10, 10));
    let schedule_few = |max_jobs, has_transaction_in_flight: &dyn Fn(&JobId) -> bool| {
        schedule_limited(
            &view,
            Some(WriteLimit {
                max_jobs,
                has_transaction_in_flight,
            }),
        )
    };
    let limited = schedule_few(3, &|_| false);
    assert_eq!(placed(&limited, JobKind::Array), arrays[..3]);
    assert_eq!(placed(&limited, JobKind::Service), services[..3]);
    let first = services[0].clone();
    let limited_with_busy = schedule_few(3, &|j| *j == first);
    assert_eq!(placed(&limited_with_busy, JobKind::Service), services[..4]);
}

/// Returns a view of one machine with 4 CPUs, and of jobs given by their number of tasks and the seconds
/// since their submission.
fn waiting_jobs(kind: JobKind, jobs: &[(u32, u64)]) -> ClusterState {
    let mut view = ClusterState::default();
    view.put(keys::MACHINE_TYPES, &to_value(&types()), 1);
    let shard = Shard {
        owner: "n".into(),
        lease: 1,
        term: 1,
    };
    (0..SHARD_COUNT).for_each(|n| view.put(&keys::shard(n), &to_value(&shard), 2));
    view.put(
        &keys::machine("m-000000"),
        &to_value(&common::up("small")),
        3,
    );
    for (index, (tasks, age)) in jobs.iter().enumerate() {
        let spec = JobSpec {
            submitted_at: (500 - age) * SECOND,
            team: "free".into(),
            ..common::spec(kind, *tasks)
        };
        view.put(&keys::job(&format!("req-{index}")), &record(&spec), 4);
    }
    view
}

/// Returns the number of tasks that are placed for each job, in the order of the schedule.
fn placements(view: &ClusterState) -> Vec<(String, usize)> {
    let list = schedule_changes(view).into_iter();
    list.filter_map(|change| match change {
        JobChange::Place { job, tasks } => Some((job.to_string(), tasks.len())),
        _ => None,
    })
    .collect()
}

/// Within a class, the job with the least work comes first, so the largest would never start while smaller
/// ones arrive. After some time, one of its tasks is placed, and no more: the other jobs are still ordered by
/// their work.
#[test]
fn the_largest_job_is_not_starved() {
    let small = [(3, 100), (2, 90), (4, 80)];
    let place_with = |large| {
        let mut jobs = vec![large];
        jobs.extend(small);
        placements(&waiting_jobs(JobKind::Array, &jobs))
    };
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(place_with((300, 110)), [job(2, 2), job(1, 2)]);
    assert_eq!(place_with((300, 130)), [job(0, 1), job(2, 2), job(1, 1)]);
    // Of several large jobs, the oldest comes first.
    let view_with_two_large = waiting_jobs(JobKind::Array, &[(300, 130), (300, 140), (1, 10)]);
    assert_eq!(
        placements(&view_with_two_large)[..2],
        [job(1, 1), job(0, 1)]
    );
    // A large job that has started is placed in the regular order.
    let mut view = waiting_jobs(JobKind::Array, &[(300, 130), (4, 80)]);
    let mut block = TaskBlock::from(vec![coppergw::jobs::model::TaskState::Waiting(0); 256]);
    block.set(0, coppergw::jobs::model::TaskState::Waiting(1));
    let spec = view.jobs["req-0"].spec.as_ref().clone();
    view.put(&keys::job("req-0"), &to_value(&JobRecord(spec, block)), 9);
    assert_eq!(placements(&view), [job(1, 4)]);
}

/// Gangs are ordered by their work, however long one has waited: behind the oldest, for which there is no
/// capacity, all would wait.
#[test]
fn a_large_gang_does_not_block_small_gangs() {
    let place_with = |age| placements(&waiting_jobs(JobKind::Gang, &[(4, age), (2, 30), (1, 20)]));
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(place_with(40), [job(2, 1), job(1, 2)]);
    assert_eq!(place_with(130), [job(2, 1), job(1, 2)]);
}

/// A job with boosted tasks has two entries in the queue, which together keep to its zone spread. Previously,
/// each entry placed the half that one zone may hold, so that all tasks were in one zone.
#[test]
fn a_job_with_two_queue_entries_keeps_its_zone_spread() {
    for kind in [JobKind::Service, JobKind::Array] {
        let mut view = waiting_jobs(kind, &[(4, 10)]);
        let spec = JobSpec {
            zone_spread: true,
            ..view.jobs["req-0"].spec.as_ref().clone()
        };
        view.put(&keys::job("req-0"), &record(&spec), 9);
        let priority_boosts =
            BTreeMap::from([("req-0".to_string(), PriorityBoost { tasks: 2, level: 1 })]);
        let priority_boosts = PriorityBoosts {
            jobs: priority_boosts,
        };
        view.put(keys::PRIORITY_BOOSTS, &to_value(&priority_boosts), 10);
        let placed: usize = placements(&view).iter().map(|x| x.1).sum();
        assert_eq!(
            placed, 2,
            "{kind:?}: at most half in the only zone with machines"
        );
    }
}
