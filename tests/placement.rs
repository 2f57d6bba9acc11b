//! Placement on generated sites: whatever the plan says keeps the Rules.

mod common;

use common::LIMITS;
use coppergw::autoscaler::model::{Host, HostState};
use coppergw::fairness::Raises;
use coppergw::jobs::commit::{Intent, Limits, stage};
use coppergw::jobs::model::{Block, JobId, Record, Room, Spec};
use coppergw::membership::{PARTS, Part};
use coppergw::scheduling::{Open, Scene, Writes, allowed, plan};
use coppergw::settings::Team;
use coppergw::store::cluster_state::View;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::Change;
use coppergw::wire::to_value;
use coppergw::wire::user::{Rank, Shape};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

const CAP: i64 = 6000;

fn types() -> Vec<MachineType> {
    [("big", 8.0, 2.0), ("small", 4.0, 0.0)]
        .map(|(sku, cores, gpus)| MachineType {
            sku: sku.into(),
            cores,
            accelerators: gpus,
            ram_gb: 32.0,
            local_gb: 10.0,
            fetch_gb_per_s: 1.0,
            rate: 1.0,
            market_price: Some(0.4),
            ready_s: 10.0,
            yards: vec!["a".into(), "b".into(), "c".into()],
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

fn host() -> impl Strategy<Value = Host> {
    (0usize..2, 0usize..3, any::<bool>(), 0u8..8).prop_map(|(kind, zone, spot, st)| Host {
        kind: ["big", "small"][kind].into(),
        zone: ["a", "b", "c"][zone].into(),
        spot,
        addr: None,
        session: 1,
        state: match st {
            0 => HostState::Draining,
            1 => HostState::Booting,
            2 => HostState::Closing,
            _ => HostState::Up,
        },
        rented: 0,
    })
}

fn spec() -> impl Strategy<Value = Spec> {
    (
        (0usize..3, 0usize..4, 1u32..7, 1i64..5, 0i64..3),
        (any::<bool>(), any::<bool>(), any::<bool>()),
        (0usize..3, 0u8..4, 0u8..4, 0u64..100),
    )
        .prop_map(
            |((kind, rank, tasks, cpus, gpus), (one, spread, spot), (team, ty, zone, at))| Spec {
                class: "c".into(),
                team: ["free", "capped", "owed"][team].into(),
                kind: [Shape::Array, Shape::Gang, Shape::Service][kind],
                rank: [Rank::Production, Rank::High, Rank::Normal, Rank::Low][rank],
                tasks,
                room: Room {
                    cpus: cpus * 1000,
                    gpus: if gpus == 2 { 1000 } else { 0 },
                    memory: 3000,
                },
                image: format!("i{at}"),
                image_size: 1,
                types: match ty {
                    0 => Some(vec!["small".into()]),
                    1 => Some(vec!["big".into()]),
                    _ => None,
                },
                zone: (zone == 0).then(|| "b".into()),
                one_zone: one && !spread,
                spread,
                spot,
                estimate: 10 * SECOND,
                checkpoint: 0,
                save: 0,
                deadline: None,
                submitted: at * SECOND,
                cancelled: false,
                needs: Default::default(),
            },
        )
}

fn record(s: &Spec) -> ciborium::Value {
    to_value(&Record(s.clone(), Block::default()))
}

fn scene_plan(v: &View) -> Vec<Intent> {
    plan_for(v, None)
}

fn plan_for(v: &View, writes: Option<Writes<'_>>) -> Vec<Intent> {
    let teams = teams();
    plan(&Scene {
        view: v,
        wall: 500 * SECOND,
        teams: &teams,
        objectives: &[],
        open: &|_, h| {
            (h.state == HostState::Up).then_some(Open {
                session: h.session,
                mine: true,
            })
        },
        freed: &HashMap::new(),
        held_back: &|_| false,
        home: &|_| true,
        mine: &|_| true,
        gangs: true,
        arrays: true,
        steps: true,
        forecast: false,
        writes,
    })
    .intents
}

fn check(v: &View) -> Result<(), TestCaseError> {
    let types = &v.types;
    let mut used = 0;
    for (id, j) in &v.jobs {
        let s = &j.spec;
        let mut zones: HashMap<&str, u32> = HashMap::new();
        let mut attempts = HashSet::new();
        for (_, p) in j.placements() {
            let h = &v.hosts[&p.host];
            prop_assert!(allowed(s, h), "wrong_place: {id} on {}", p.host);
            prop_assert!(h.state == HostState::Up, "placed on {:?}", h.state);
            *zones.entry(&h.zone).or_default() += 1;
            attempts.insert(p.attempt);
            if s.team == "capped" {
                used += s.room.cpus;
            }
        }
        prop_assert!(!s.one_zone || zones.len() <= 1, "{id} in two zones");
        let most = zones.values().copied().max().unwrap_or(0);
        prop_assert!(!s.spread || most <= s.tasks.div_ceil(2), "{id} not spread");
        if s.kind == Shape::Gang {
            prop_assert!(j.placed == 0 || j.placed == s.tasks, "half a gang");
            prop_assert!(attempts.len() <= 1, "a gang with two attempts");
        }
    }
    prop_assert!(used <= CAP, "quota");
    for (id, h) in &v.hosts {
        let mut free = Room::of(&types[&h.kind]);
        for (job, _) in v.tasks_on(id).into_iter().flat_map(|t| t.keys()) {
            free.take(&v.jobs[job].spec.room);
        }
        prop_assert!(
            free.fits(&Room::default()),
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
        hosts in proptest::collection::vec(host(), 1..12),
        specs in proptest::collection::vec(spec(), 1..14),
    ) {
        let mut v = View::default();
        let mut rev = 1;
        let mut put = |v: &mut View, k: &str, x: &ciborium::Value| {
            rev += 1;
            v.put(k, x, rev);
        };
        put(&mut v, keys::TYPES, &to_value(&types()));
        for n in 0..PARTS {
            let p = Part { owner: "n".into(), lease: 1, term: 1 };
            put(&mut v, &keys::part(n), &to_value(&p));
        }
        for (i, h) in hosts.iter().enumerate() {
            put(&mut v, &keys::host(&format!("m-{i:06}")), &to_value(h));
        }
        for (i, s) in specs.iter().enumerate() {
            put(&mut v, &keys::job(&format!("req-{i}")), &record(s));
        }
        let limits = Limits { ops: 16, merge: 16, bytes: 48_000 , value: 32_000, layout: false, packed: false, wall: 0};
        for _ in 0..4 {
            let intents = scene_plan(&v);
            let staged = stage(&v, &intents, &HashSet::new(), &|t| t == "capped", limits);
            for s in staged {
                prop_assert!(s.txn.then.len() <= 16 && s.txn.guards.len() <= 64);
                // As the state service: all conditions or nothing.
                if s.txn.guards.iter().any(|g| v.stamp(&g.path) != g.stamp) {
                    continue;
                }
                rev += 1;
                for c in &s.txn.then {
                    match c {
                        Change::Put { put, v: x, .. } => v.put(put, x, rev),
                        Change::Delete { remove } => v.delete(remove, rev),
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
        let mut v = View::default();
        v.put(keys::TYPES, &to_value(&types()), 1);
        let h = common::up("small");
        v.put(&keys::host("m-1"), &to_value(&h), 2);
        let base = Spec {
            team: "free".into(),
            rank,
            room: Room {
                cpus: 4000,
                gpus: 0,
                memory: 1000,
            },
            ..common::spec(Shape::Array, 1)
        };
        v.put(&keys::job("req-1"), &record(&base), 3);
        let intents = scene_plan(&v);
        let staged = stage(&v, &intents, &HashSet::new(), &|_| false, LIMITS);
        for c in &staged[0].txn.then {
            if let Change::Put { put, v: x, .. } = c {
                v.put(put, x, 4);
            }
        }
        let service = Spec {
            kind: Shape::Service,
            rank: Rank::Production,
            submitted: 2,
            ..base
        };
        v.put(&keys::job("req-2"), &record(&service), 5);
        scene_plan(&v)
    };
    let stops = build(Rank::Low);
    assert!(
        matches!(stops.as_slice(), [Intent::Stop { job, .. }] if &**job == "req-1"),
        "{stops:?}"
    );
    assert_eq!(build(Rank::Production), vec![]);
}

/// A gang on a machine that is about to be taken is stopped as a whole, each task with time to save;
/// a gang that lost a task is stopped at once; and a gang completes together.
#[test]
fn gangs_stop_and_complete_together() {
    let mut v = View::default();
    let mut rev = 0;
    let mut put = |v: &mut View, k: String, x: ciborium::Value| {
        rev += 1;
        v.put(&k, &x, rev);
    };
    put(&mut v, keys::TYPES.into(), to_value(&types()));
    let host = |state| Host {
        kind: "small".into(),
        zone: "a".into(),
        spot: true,
        addr: None,
        session: 1,
        state,
        rented: 0,
    };
    for id in ["m-1", "m-2"] {
        put(&mut v, keys::host(id), to_value(&host(HostState::Up)));
    }
    let spec = Spec {
        team: "free".into(),
        room: Room {
            cpus: 3000,
            gpus: 0,
            memory: 1000,
        },
        one_zone: true,
        checkpoint: 5 * SECOND,
        save: 2 * SECOND,
        ..common::spec(Shape::Gang, 2)
    };
    put(&mut v, keys::job("req-1"), record(&spec));
    let changes = |v: &View, intents: &[Intent]| {
        let staged = stage(v, intents, &HashSet::new(), &|_| false, LIMITS);
        staged
            .into_iter()
            .flat_map(|s| s.txn.then)
            .collect::<Vec<_>>()
    };
    let placed = changes(&v, &scene_plan(&v));
    for c in placed {
        if let Change::Put { put: k, v: x, .. } = c {
            put(&mut v, k, x);
        }
    }
    assert_eq!(v.jobs["req-1"].placed, 2);
    assert_eq!(scene_plan(&v), vec![], "nothing to do while it runs");

    let job: coppergw::jobs::model::JobId = "req-1".into();
    let done = changes(
        &v,
        &[Intent::Left {
            job: job.clone(),
            index: 0,
            attempt: 1,
            done: true,
        }],
    );
    let ends = |c: &Change| matches!(c, Change::Put { put, .. } if *put == keys::fin("req-1"));
    assert!(done.iter().any(ends), "one done, all done: {done:?}");

    put(
        &mut v,
        keys::host("m-2"),
        to_value(&host(HostState::Draining)),
    );
    let graces: Vec<_> = scene_plan(&v)
        .into_iter()
        .map(|i| match i {
            Intent::Stop { index, grace, .. } => (index, grace),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(graces, vec![(0, spec.save), (1, spec.save)]);

    put(&mut v, keys::host("m-2"), to_value(&host(HostState::Up)));
    let lost = changes(
        &v,
        &[Intent::Left {
            job,
            index: 1,
            attempt: 1,
            done: false,
        }],
    );
    for c in lost {
        if let Change::Put { put: k, v: x, .. } = c {
            put(&mut v, k, x);
        }
    }
    let stops = scene_plan(&v);
    assert!(
        matches!(
            stops.as_slice(),
            [Intent::Stop {
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
    let mut v = View::default();
    v.put(keys::TYPES, &to_value(&types()), 1);
    for k in 0..20 {
        let h = common::up("small");
        v.put(&keys::host(&format!("m-{k:02}")), &to_value(&h), 2 + k);
    }
    for k in 0..20u64 {
        let kind = if k < 10 { Shape::Service } else { Shape::Array };
        let s = Spec {
            submitted: k * SECOND,
            // Arrays before services in the queue.
            rank: if k < 10 { Rank::Low } else { Rank::Normal },
            team: "free".into(),
            ..common::spec(kind, 1)
        };
        v.put(&keys::job(&format!("req-{k:02}")), &record(&s), 50 + k);
    }
    let placed = |list: &[Intent], kind: Shape| -> Vec<JobId> {
        let jobs = list.iter().map(|i| i.job());
        let of = jobs.filter(|j| v.jobs[*j].spec.kind == kind);
        of.cloned().collect()
    };
    let whole = scene_plan(&v);
    let services = placed(&whole, Shape::Service);
    let arrays = placed(&whole, Shape::Array);
    assert_eq!((services.len(), arrays.len()), (10, 10));
    let few = |jobs, busy: &dyn Fn(&JobId) -> bool| plan_for(&v, Some(Writes { jobs, busy }));
    let some = few(3, &|_| false);
    assert_eq!(placed(&some, Shape::Array), arrays[..3]);
    assert_eq!(placed(&some, Shape::Service), services[..3]);
    let first = services[0].clone();
    let more = few(3, &|j| *j == first);
    assert_eq!(placed(&more, Shape::Service), services[..4]);
}

/// A view of one machine with 4 CPUs, and jobs with so many tasks that were submitted so long ago.
fn waiting(kind: Shape, jobs: &[(u32, u64)]) -> View {
    let mut v = View::default();
    v.put(keys::TYPES, &to_value(&types()), 1);
    let part = Part {
        owner: "n".into(),
        lease: 1,
        term: 1,
    };
    (0..PARTS).for_each(|n| v.put(&keys::part(n), &to_value(&part), 2));
    v.put(&keys::host("m-000000"), &to_value(&common::up("small")), 3);
    for (k, (tasks, age)) in jobs.iter().enumerate() {
        let s = Spec {
            submitted: (500 - age) * SECOND,
            team: "free".into(),
            ..common::spec(kind, *tasks)
        };
        v.put(&keys::job(&format!("req-{k}")), &record(&s), 4);
    }
    v
}

/// What each job gets, in the order of the plan.
fn given(v: &View) -> Vec<(String, usize)> {
    let list = scene_plan(v).into_iter();
    list.filter_map(|i| match i {
        Intent::Place { job, tasks } => Some((job.to_string(), tasks.len())),
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
        given(&waiting(Shape::Array, &jobs))
    };
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(with((300, 110)), [job(2, 2), job(1, 2)]);
    assert_eq!(with((300, 130)), [job(0, 1), job(2, 2), job(1, 1)]);
    // Several of them: the oldest first.
    let two = waiting(Shape::Array, &[(300, 130), (300, 140), (1, 10)]);
    assert_eq!(given(&two)[..2], [job(1, 1), job(0, 1)]);
    // One that has begun waits for its turn.
    let mut v = waiting(Shape::Array, &[(300, 130), (4, 80)]);
    let mut b = Block(vec![coppergw::jobs::model::Slot::Waiting(0); 256]);
    b.0[0] = coppergw::jobs::model::Slot::Waiting(1);
    let s = v.jobs["req-0"].spec.as_ref().clone();
    v.put(&keys::job("req-0"), &to_value(&Record(s, b)), 9);
    assert_eq!(given(&v), [job(1, 4)]);
}

/// Gangs go by their work, however long one has waited: behind the oldest, for which there is no room, all would wait.
#[test]
fn a_large_gang_keeps_no_small_one_waiting() {
    let with = |age| given(&waiting(Shape::Gang, &[(4, age), (2, 30), (1, 20)]));
    let job = |k: u32, n| (format!("req-{k}"), n);
    assert_eq!(with(40), [job(2, 1), job(1, 2)]);
    assert_eq!(with(130), [job(2, 1), job(1, 2)]);
}

/// A job of which a part is raised stands in the queue twice. Together they keep to its zones: each took the half that
/// may be in one, and all of it was there.
#[test]
fn a_job_in_two_entries_keeps_to_its_zones() {
    for kind in [Shape::Service, Shape::Array] {
        let mut v = waiting(kind, &[(4, 10)]);
        let s = Spec {
            spread: true,
            ..v.jobs["req-0"].spec.as_ref().clone()
        };
        v.put(&keys::job("req-0"), &record(&s), 9);
        let raises = BTreeMap::from([("req-0".to_string(), (2u32, 1u32))]);
        let raises = Raises { jobs: raises };
        v.put(keys::RAISES, &to_value(&raises), 10);
        let n: usize = given(&v).iter().map(|x| x.1).sum();
        assert_eq!(
            n, 2,
            "{kind:?}: at most half in the only zone with machines"
        );
    }
}
