//! Fleets of the grown deployments' size: plans keep the Rules and equal those of a plain one,
//! transactions keep the limits of size and count.

mod common;

use common::{LIMITS, machine_type as kind};
use coppergw::autoscaler::model::{Charter, Host, HostState, Leaving};
use coppergw::autoscaler::reconciler::forget_gone;
use coppergw::autoscaler::{UP_MAX, give_up, not_expected};
use coppergw::ids::HostId;
use coppergw::jobs::commit::{Intent, stage};
use coppergw::jobs::model::{Block, JobId, Record, Room, Slot, Spec};
use coppergw::membership::{PARTS, Part, part_of};
use coppergw::scheduling::{Open, Scene, plan};
use coppergw::store::cluster_state::View;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Change, Txn};
use coppergw::wire::user::{Rank, Shape};
use coppergw::wire::{encode, to_value};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn spec(shape: Shape, rank: Rank, tasks: u32, cpus: i64, gpus: i64) -> Spec {
    Spec {
        rank,
        room: Room {
            cpus: cpus * 1000,
            gpus: gpus * 1000,
            memory: 1000,
        },
        estimate: 20 * SECOND,
        submitted: 400 * SECOND,
        ..common::spec(shape, tasks)
    }
}

struct World {
    view: View,
    rev: u64,
}

impl World {
    /// So many machines, each a type and whether it is a spot machine.
    fn new(machines: &[(bool, bool)]) -> World {
        let mut w = World {
            view: View::default(),
            rev: 0,
        };
        w.put(
            keys::TYPES.into(),
            to_value(&vec![kind("cpu", 16.0, 0.0), kind("gpu", 24.0, 2.0)]),
        );
        for n in 0..PARTS {
            let p = Part {
                owner: "n".into(),
                lease: 1,
                term: 1,
            };
            w.put(keys::part(n), to_value(&p));
        }
        for (i, (gpu, spot)) in machines.iter().enumerate() {
            let h = Host {
                kind: if *gpu { "gpu" } else { "cpu" }.into(),
                zone: "a".into(),
                spot: *spot,
                addr: None,
                session: 1,
                state: HostState::Up,
                rented: 0,
            };
            w.put(keys::host(&format!("m-{i:06}")), to_value(&h));
        }
        w
    }

    fn put(&mut self, key: String, v: ciborium::Value) {
        self.rev += 1;
        self.view.put(&key, &v, self.rev);
    }

    fn job(&mut self, id: &str, s: Spec) {
        self.put(keys::job(id), to_value(&Record(s, Block::default())));
    }

    fn apply(&mut self, t: &Txn) {
        self.rev += 1;
        for c in &t.then {
            match c {
                Change::Put { put, v, .. } => self.view.put(put, v, self.rev),
                Change::Delete { remove } => self.view.delete(remove, self.rev),
            }
        }
        common::indexed(&self.view);
    }

    fn plan(&self, freed: &HashMap<HostId, Room>) -> Vec<Intent> {
        self.plan_of(freed, &|_| true)
    }

    fn plan_of(&self, freed: &HashMap<HostId, Room>, mine: &dyn Fn(&str) -> bool) -> Vec<Intent> {
        plan(&Scene {
            view: &self.view,
            wall: 401 * SECOND,
            teams: &[],
            objectives: &[],
            open: &|id, h| {
                (h.state == HostState::Up).then_some(Open {
                    session: h.session,
                    mine: mine(id),
                })
            },
            freed,
            held_back: &|_| false,
            home: &|_| true,
            mine,
            gangs: true,
            arrays: true,
            steps: true,
            forecast: false,
            writes: None,
        })
        .intents
    }

    /// Carries out intents and checks every transaction against the state service's limits.
    fn carry_out(&mut self, intents: &[Intent]) {
        for s in stage(&self.view, intents, &HashSet::new(), &|_| false, LIMITS) {
            assert!(s.txn.then.len() <= 16 && s.txn.guards.len() <= 64);
            assert!(encode(&s.txn).len() <= 64 * 1024, "a transaction too large");
            for c in &s.txn.then {
                if let Change::Put { v, .. } = c {
                    assert!(encode(v).len() <= 32 * 1024, "a value too large");
                }
            }
            self.apply(&s.txn);
        }
    }
}

/// The same decisions task by task, over all machines for each: what the plan must equal.
fn plain(w: &World, jobs: &[(String, Spec)]) -> BTreeMap<String, BTreeMap<String, u32>> {
    let mut free: BTreeMap<String, (Room, Room, bool)> = w
        .view
        .hosts
        .iter()
        .map(|(id, h)| {
            let whole = Room::of(&w.view.types[&h.kind]);
            (id.to_string(), (whole, whole, h.spot))
        })
        .collect();
    let mut order: Vec<&(String, Spec)> = jobs.iter().collect();
    order.sort_by_key(|(id, s)| {
        let work = u64::from(s.tasks) * (s.estimate / 1000) * s.room.cpus as u64;
        (s.rank, work, s.submitted, id.clone())
    });
    let mut out: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
    for (id, s) in order {
        let warm = |id: &str| {
            let images = w.view.images.get(id);
            images.is_some_and(|i| i.contains(&s.image))
        };
        for _ in 0..s.tasks {
            let best = free
                .iter()
                .filter(|(_, (f, whole, spot))| {
                    f.fits(&s.room) && whole.gpus == 0 && (s.spot || !spot)
                })
                .min_by_key(|(id, (f, whole, spot))| {
                    let empty = f == whole && s.kind == Shape::Array && whole.times(&s.room) > 1;
                    let fetch = 2 * i64::from(!warm(id));
                    let cost = fetch + i64::from(s.spot && !spot) + 3 * i64::from(empty);
                    (cost, f.cpus, (*id).clone())
                })
                .map(|(id, _)| id.clone());
            let Some(host) = best else { break };
            if let Some(x) = free.get_mut(&host) {
                x.0.take(&s.room);
            }
            *out.entry(id.clone()).or_default().entry(host).or_default() += 1;
        }
    }
    out
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// Runs of equal tasks over machines with room, and each task over all machines, decide alike.
    #[test]
    fn indexed_and_plain_plans_are_equal(
        machines in proptest::collection::vec((proptest::bool::weighted(0.1), any::<bool>()), 1..400),
        images in proptest::collection::vec((0usize..400, 0u8..3), 0..200),
        jobs in proptest::collection::vec((0u8..2, 0u8..2, 1u32..400, 1i64..5, any::<bool>()), 1..24),
    ) {
        let mut w = World::new(&machines);
        // Some machines have some of the images: jobs of one kind see them in different orders.
        for (host, image) in &images {
            let id = format!("m-{:06}", host % machines.len());
            w.view.images.entry(id.as_str().into()).or_default().insert(format!("i{image}"));
        }
        let mut list = Vec::new();
        for (i, (shape, rank, tasks, cpus, spot)) in jobs.iter().enumerate() {
            let shape = [Shape::Array, Shape::Service][*shape as usize];
            // Nobody ranks so that another is pushed aside: that is not what is compared here.
            let rank = [Rank::Normal, Rank::Low][*rank as usize];
            let s = Spec { spot: *spot, image: format!("i{}", i % 4), ..spec(shape, rank, *tasks, *cpus, 0) };
            w.job(&format!("req-{i}"), s.clone());
            list.push((format!("req-{i}"), s));
        }
        let mut got: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        for i in w.plan(&HashMap::new()) {
            if let Intent::Place { job, tasks } = i {
                for (_, host, _) in tasks {
                    *got.entry(job.to_string()).or_default().entry(host.to_string()).or_default() += 1;
                }
            }
        }
        prop_assert_eq!(got, plain(&w, &list));
    }
}

/// An array over more machines than one transaction can hold conditions for was never placed at
/// all: its whole placement was staged, found too large and dropped, again and again.
#[test]
fn a_large_array_on_a_large_fleet_is_placed_in_several_transactions() {
    let mut w = World::new(&vec![(false, false); 950]);
    w.job("req-1", spec(Shape::Array, Rank::Normal, 600, 16, 0));
    for _ in 0..30 {
        let intents = w.plan(&HashMap::new());
        w.carry_out(&intents);
    }
    let job: JobId = "req-1".into();
    assert_eq!(w.view.jobs[&job].placed, 600);
    let hosts: HashSet<_> = w.view.on_host.keys().collect();
    assert_eq!(hosts.len(), 600, "each has a machine of its own");
}

/// A gang of 32 on machines with GPUs is one transaction within the limits.
#[test]
fn a_large_gang_is_one_transaction() {
    let mut w = World::new(&vec![(true, true); 320]);
    w.job("req-1", spec(Shape::Gang, Rank::Normal, 32, 21, 2));
    let intents = w.plan(&HashMap::new());
    let staged = stage(&w.view, &intents, &HashSet::new(), &|_| false, LIMITS);
    assert_eq!(staged.len(), 1);
    w.carry_out(&intents);
    assert_eq!(w.view.jobs["req-1"].placed, 32);
}

/// Machines with GPUs stood idle, or were held for a minute by small tasks that could not leave
/// without loss. Guests are told to save, and the gang starts once they have left.
#[test]
fn guests_save_and_leave_for_a_gang() {
    let mut w = World::new(&[(true, false), (true, false)]);
    let low = Spec {
        checkpoint: 15 * SECOND,
        save: 6 * SECOND,
        ..spec(Shape::Array, Rank::Low, 20, 2, 0)
    };
    w.job("req-1", low);
    w.job("req-2", spec(Shape::Array, Rank::Low, 20, 2, 0));
    let intents = w.plan(&HashMap::new());
    w.carry_out(&intents);
    assert_eq!(w.view.jobs["req-1"].placed, 20, "guests use idle machines");
    assert_eq!(
        w.view.jobs["req-2"].placed, 0,
        "without checkpoints: no guest"
    );
    w.job("req-3", spec(Shape::Gang, Rank::Normal, 2, 21, 2));
    let stops = w.plan(&HashMap::new());
    let saves = |i: &Intent| matches!(i, Intent::Stop { grace, .. } if *grace == 6 * SECOND);
    assert!(!stops.is_empty() && stops.iter().all(saves), "{stops:?}");
    w.carry_out(&stops);
    assert_eq!(w.plan(&HashMap::new()), vec![], "it waits for them");
    let left: Vec<Intent> = (0..20)
        .map(|index| Intent::Left {
            job: "req-1".into(),
            index,
            attempt: 1,
            done: false,
        })
        .collect();
    w.carry_out(&left);
    let places = w.plan(&HashMap::new());
    w.carry_out(&places);
    assert_eq!(w.view.jobs["req-3"].placed, 2);
    // 3 CPUs are left beside each of its tasks: room for one guest.
    assert_eq!(w.view.jobs["req-1"].placed, 2);
}

/// With machines split among owners a service's own owner may have none that holds its image: it
/// fetched instead of starting where the image was. Services may go to others' machines, arrays not.
#[test]
fn a_service_starts_where_its_image_is() {
    let mut w = World::new(&[(false, false), (false, false)]);
    w.job("req-1", spec(Shape::Service, Rank::Production, 1, 1, 0));
    let all = w.plan_of(&HashMap::new(), &|id| id == "m-000001");
    w.carry_out(&all);
    assert!(w.view.on_host.contains_key("m-000001"), "its own first");
    w.job("req-2", spec(Shape::Service, Rank::Production, 1, 1, 0));
    w.job("req-3", spec(Shape::Array, Rank::Normal, 1, 1, 0));
    let next = w.plan_of(&HashMap::new(), &|id| id == "m-000000");
    w.carry_out(&next);
    let on = |j: &str| match w.view.jobs[j].slot(0) {
        Some(Slot::Placed(p)) => p.host.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(on("req-2"), "m-000001", "another's, where its image is");
    assert_eq!(on("req-3"), "m-000000", "an array stays with its owner");
}

/// Room of an exit that is known and not written yet is used; without it nothing starts.
#[test]
fn room_of_unwritten_exits_is_used() {
    let mut w = World::new(&[(false, false)]);
    w.job("req-1", spec(Shape::Array, Rank::Normal, 1, 16, 0));
    let first = w.plan(&HashMap::new());
    w.carry_out(&first);
    w.job("req-2", spec(Shape::Array, Rank::Normal, 1, 16, 0));
    assert_eq!(w.plan(&HashMap::new()), vec![]);
    let room = w.view.jobs["req-1"].spec.room;
    let freed = HashMap::from_iter([(HostId::from("m-000000"), room)]);
    let next = w.plan(&freed);
    w.carry_out(&next);
    let slot = |j: &str| w.view.jobs[j].slot(0).cloned();
    assert!(
        matches!(slot("req-1"), Some(Slot::Placed(_))),
        "not written"
    );
    assert!(matches!(slot("req-2"), Some(Slot::Placed(_))));
}

/// A charter makes its machines known with one write; a machine that was returned stays gone, and
/// one with a key of its own outlives the charter.
#[test]
fn a_charter_stands_for_its_machines_until_they_have_keys() {
    let mut w = World::new(&[]);
    let c = Charter {
        kind: "cpu".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
        at: 7,
        names: vec!["m-1".into(), "m-2".into(), "m-3".into()],
    };
    w.put(keys::charter("r-1"), to_value(&c));
    assert_eq!(w.view.hosts.len(), 3);
    assert_eq!(w.view.hosts["m-1"].state, HostState::Booting);
    let up = Host {
        state: HostState::Up,
        session: 1,
        ..c.host()
    };
    w.put(keys::host("m-1"), to_value(&up));
    w.put(keys::host("m-2"), to_value(&up));
    w.rev += 1;
    let rev = w.rev;
    w.view.delete(&keys::host("m-2"), rev);
    w.put(keys::charter("r-2"), to_value(&c));
    assert!(!w.view.hosts.contains_key("m-2"), "returned and gone");
    assert_eq!(w.view.hosts["m-1"].state, HostState::Up);
    for name in ["r-1", "r-2"] {
        w.rev += 1;
        let rev = w.rev;
        w.view.delete(&keys::charter(name), rev);
    }
    let left: Vec<&str> = w.view.hosts.keys().map(|k| &**k).collect();
    assert_eq!(left, vec!["m-1"]);
}

/// Machines marked together are on their way back whatever their own keys say; one that got a task
/// after all stays; one that is gone does not come back by a late write, nor from a list that lags.
#[test]
fn machines_leave_together() {
    let mut w = World::new(&[(false, false), (false, false)]);
    let names: Vec<HostId> = w.view.hosts.keys().cloned().collect();
    let up = w.view.hosts[&names[0]].clone();
    let key = keys::leaving("a");
    let leaving = |names: &[HostId], gone| {
        to_value(&Leaving {
            names: names.to_vec(),
            gone,
            ..Leaving::default()
        })
    };
    w.put(key.clone(), leaving(&names, false));
    let closing = Host {
        state: HostState::Closing,
        ..up.clone()
    };
    w.put(keys::host(&names[0]), to_value(&closing));
    assert!(
        w.view
            .hosts
            .values()
            .all(|h| h.state == HostState::Returning)
    );
    w.put(key.clone(), leaving(&names[1..], false));
    assert_eq!(w.view.hosts[&names[0]].state, HostState::Closing);
    w.put(key.clone(), leaving(&names[1..], true));
    w.put(keys::host(&names[1]), to_value(&up));
    assert!(
        !w.view.hosts.contains_key(&names[1]),
        "written after it was gone"
    );
    let t = forget_gone(&w.view, 5).expect("keys to delete");
    w.apply(&t);
    assert_eq!(t.then.len(), 2, "the machine's key, then what named it");
    assert!(w.view.deleted(&keys::host(&names[1])) && w.view.leaving.is_empty());
}

/// A gang that lost two attempts keeps off spot machines: each of them that is taken ends the attempt.
#[test]
fn a_gang_that_lost_attempts_keeps_off_spot_machines() {
    for (lost, spot) in [(1, true), (2, false)] {
        let mut w = World::new(&[(true, true), (true, true), (true, false), (true, false)]);
        let slots = Block(vec![Slot::Waiting(lost); 2]);
        let s = spec(Shape::Gang, Rank::Normal, 2, 8, 1);
        w.put(keys::job("req-1"), to_value(&Record(s, slots)));
        let intents = w.plan(&HashMap::new());
        let Some(Intent::Place { tasks, .. }) = intents.first() else {
            panic!("not placed: {intents:?}");
        };
        assert!(tasks.iter().all(|(_, h, _)| w.view.hosts[h].spot == spot));
    }
}

/// One machine that does not come up is late once others that were rented with it are up; if all boot
/// slowly, none is.
#[test]
fn one_machine_is_late_and_all_are_not() {
    let mut w = World::new(&[(true, false), (true, false)]);
    let names: Vec<HostId> = w.view.hosts.keys().cloned().collect();
    let ready = (w.view.types["gpu"].ready_s * 1e6) as u64;
    let boots = Host {
        state: HostState::Booting,
        rented: SECOND,
        ..w.view.hosts[&names[0]].clone()
    };
    let up = Host {
        state: HostState::Up,
        ..boots.clone()
    };
    for n in &names {
        w.put(keys::host(n), to_value(&boots));
    }
    let at = SECOND + ready * 2 + UP_MAX;
    assert!(
        not_expected(&w.view, at, &|_| false).is_empty(),
        "all are late"
    );
    w.put(keys::host(&names[0]), to_value(&up));
    assert!(
        not_expected(&w.view, SECOND + ready, &|_| false).is_empty(),
        "not late yet"
    );
    let late = not_expected(&w.view, at, &|_| false);
    assert!(late.len() == 1 && late.contains(&names[1]));
}

/// When a zone falls its machines are given up with one write, and only by who drives them: one that was
/// cut off may have such a write delivered when a newer owner has long heard the machines again.
#[test]
fn machines_given_up_go_together_unless_their_owner_was_deposed() {
    let mut w = World::new(&[(false, false); 40]);
    let names: Vec<HostId> = w.view.hosts.keys().take(30).cloned().collect();
    let holds = |w: &World, t: &Txn| t.guards.iter().all(|g| w.view.stamp(&g.path) == g.stamp);
    let late = give_up(&w.view, "n-1-lost-1", names.clone());
    assert_eq!(late.then.len(), 1);
    let part = keys::part(part_of(&names[7]));
    let newer = Part {
        owner: "m".into(),
        lease: 2,
        term: 2,
    };
    w.put(part, to_value(&newer));
    assert!(!holds(&w, &late), "its owner was deposed");
    let t = give_up(&w.view, "n-1-lost-2", names.clone());
    assert!(holds(&w, &t));
    w.apply(&t);
    let state = |w: &World, id: &HostId| w.view.hosts.get(id).map(|h| h.state);
    assert!(
        names
            .iter()
            .all(|id| state(&w, id) == Some(HostState::Returning))
    );
    let gone = Leaving {
        names: names.clone(),
        gone: true,
        lost: true,
    };
    w.put(keys::leaving("n-1-lost-2"), to_value(&gone));
    assert_eq!(w.view.hosts.len(), 10);
}
