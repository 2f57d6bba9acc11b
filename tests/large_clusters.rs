//! Fleets of the grown deployments' size: plans keep the Rules and equal those of a plain one,
//! transactions keep the limits of size and count.

mod common;

use common::{LIMITS, machine_type as kind};
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use coppergw::autoscaler::reconciler::forget_gone;
use coppergw::autoscaler::{MAX_READY_WRITE_DELAY, declare_dead, not_expected};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, Resources, TaskBlock, TaskState};
use coppergw::membership::{SHARD_COUNT, Shard, shard_of};
use coppergw::scheduling::{SchedulableMachine, SchedulingInput, schedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::{encode, to_value};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn spec(shape: JobKind, rank: Priority, tasks: u32, cpus: i64, gpus: i64) -> JobSpec {
    JobSpec {
        priority: rank,
        resources: Resources {
            cpus: cpus * 1000,
            gpus: gpus * 1000,
            memory: 1000,
        },
        estimated_run_time: 20 * SECOND,
        submitted_at: 400 * SECOND,
        ..common::spec(shape, tasks)
    }
}

struct World {
    view: ClusterState,
    rev: u64,
}

impl World {
    /// So many machines, each a type and whether it is a spot machine.
    fn new(machines: &[(bool, bool)]) -> World {
        let mut w = World {
            view: ClusterState::default(),
            rev: 0,
        };
        w.put(
            keys::TYPES.into(),
            to_value(&vec![kind("cpu", 16.0, 0.0), kind("gpu", 24.0, 2.0)]),
        );
        for n in 0..SHARD_COUNT {
            let p = Shard {
                owner: "n".into(),
                lease: 1,
                term: 1,
            };
            w.put(keys::shard(n), to_value(&p));
        }
        for (i, (gpu, spot)) in machines.iter().enumerate() {
            let h = MachineRecord {
                machine_type: if *gpu { "gpu" } else { "cpu" }.into(),
                zone: "a".into(),
                spot: *spot,
                address: None,
                session: 1,
                state: MachineState::Up,
                rented_at: 0,
            };
            w.put(keys::machine(&format!("m-{i:06}")), to_value(&h));
        }
        w
    }

    fn put(&mut self, key: String, v: ciborium::Value) {
        self.rev += 1;
        self.view.put(&key, &v, self.rev);
    }

    fn job(&mut self, id: &str, s: JobSpec) {
        self.put(keys::job(id), to_value(&JobRecord(s, TaskBlock::default())));
    }

    fn apply(&mut self, t: &Transaction) {
        self.rev += 1;
        for c in &t.mutations {
            match c {
                Mutation::Put {
                    key: put, value: v, ..
                } => self.view.put(put, v, self.rev),
                Mutation::Delete { key: remove } => self.view.delete(remove, self.rev),
            }
        }
        common::indexed(&self.view);
    }

    fn plan(&self, freed: &HashMap<MachineId, Resources>) -> Vec<JobChange> {
        self.plan_of(freed, &|_| true)
    }

    fn plan_of(
        &self,
        freed: &HashMap<MachineId, Resources>,
        mine: &dyn Fn(&str) -> bool,
    ) -> Vec<JobChange> {
        schedule(&SchedulingInput {
            view: &self.view,
            wall_clock: 401 * SECOND,
            teams: &[],
            objectives: &[],
            schedulable: &|id, h| {
                (h.state == MachineState::Up).then_some(SchedulableMachine {
                    session: h.session,
                    owned: mine(id),
                })
            },
            freed,
            in_backoff: &|_| false,
            owns_job: &|_| true,
            owns_machine: mine,
            place_gangs: true,
            place_arrays: true,
            place_deadline_steps: true,
            forecast: false,
            write_limit: None,
        })
        .changes
    }

    /// Carries out intents and checks every transaction against the state service's limits.
    fn carry_out(&mut self, intents: &[JobChange]) {
        for s in stage(&self.view, intents, &HashSet::new(), &|_| false, LIMITS) {
            assert!(s.transaction.mutations.len() <= 16 && s.transaction.preconditions.len() <= 64);
            assert!(
                encode(&s.transaction).len() <= 64 * 1024,
                "a transaction too large"
            );
            for c in &s.transaction.mutations {
                if let Mutation::Put { value: v, .. } = c {
                    assert!(encode(v).len() <= 32 * 1024, "a value too large");
                }
            }
            self.apply(&s.transaction);
        }
    }
}

/// The same decisions task by task, over all machines for each: what the plan must equal.
fn plain(w: &World, jobs: &[(String, JobSpec)]) -> BTreeMap<String, BTreeMap<String, u32>> {
    let mut free: BTreeMap<String, (Resources, Resources, bool)> = w
        .view
        .machines
        .iter()
        .map(|(id, h)| {
            let whole = Resources::of_machine(&w.view.machine_types[&h.machine_type]);
            (id.to_string(), (whole, whole, h.spot))
        })
        .collect();
    let mut order: Vec<&(String, JobSpec)> = jobs.iter().collect();
    order.sort_by_key(|(id, s)| {
        let work =
            u64::from(s.task_count) * (s.estimated_run_time / 1000) * s.resources.cpus as u64;
        (s.priority, work, s.submitted_at, id.clone())
    });
    let mut out: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
    for (id, s) in order {
        let warm = |id: &str| {
            let images = w.view.images.get(id);
            images.is_some_and(|i| i.contains(&s.image))
        };
        for _ in 0..s.task_count {
            let best = free
                .iter()
                .filter(|(_, (f, whole, spot))| {
                    f.fits(&s.resources) && whole.gpus == 0 && (s.allow_spot || !spot)
                })
                .min_by_key(|(id, (f, whole, spot))| {
                    let empty = f == whole
                        && s.kind == JobKind::Array
                        && whole.count_fitting(&s.resources) > 1;
                    let fetch = 2 * i64::from(!warm(id));
                    let cost = fetch + i64::from(s.allow_spot && !spot) + 3 * i64::from(empty);
                    (cost, f.cpus, (*id).clone())
                })
                .map(|(id, _)| id.clone());
            let Some(machine) = best else { break };
            if let Some(x) = free.get_mut(&machine) {
                x.0.subtract(&s.resources);
            }
            *out.entry(id.clone())
                .or_default()
                .entry(machine)
                .or_default() += 1;
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
        for (machine, image) in &images {
            let id = format!("m-{:06}", machine % machines.len());
            w.view.images.entry(id.as_str().into()).or_default().insert(format!("i{image}"));
        }
        let mut list = Vec::new();
        for (i, (shape, rank, tasks, cpus, spot)) in jobs.iter().enumerate() {
            let shape = [JobKind::Array, JobKind::Service][*shape as usize];
            // Nobody ranks so that another is pushed aside: that is not what is compared here.
            let rank = [Priority::Normal, Priority::Low][*rank as usize];
            let s = JobSpec { allow_spot: *spot, image: format!("i{}", i % 4), ..spec(shape, rank, *tasks, *cpus, 0) };
            w.job(&format!("req-{i}"), s.clone());
            list.push((format!("req-{i}"), s));
        }
        let mut got: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        for i in w.plan(&HashMap::new()) {
            if let JobChange::Place { job, tasks } = i {
                for (_, machine, _) in tasks {
                    *got.entry(job.to_string()).or_default().entry(machine.to_string()).or_default() += 1;
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
    w.job("req-1", spec(JobKind::Array, Priority::Normal, 600, 16, 0));
    for _ in 0..30 {
        let intents = w.plan(&HashMap::new());
        w.carry_out(&intents);
    }
    let job: JobId = "req-1".into();
    assert_eq!(w.view.jobs[&job].placed, 600);
    let machines: HashSet<_> = w.view.tasks_by_machine.keys().collect();
    assert_eq!(machines.len(), 600, "each has a machine of its own");
}

/// A gang of 32 on machines with GPUs is one transaction within the limits.
#[test]
fn a_large_gang_is_one_transaction() {
    let mut w = World::new(&vec![(true, true); 320]);
    w.job("req-1", spec(JobKind::Gang, Priority::Normal, 32, 21, 2));
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
    let low = JobSpec {
        checkpoint_interval: 15 * SECOND,
        checkpoint_save_time: 6 * SECOND,
        ..spec(JobKind::Array, Priority::Low, 20, 2, 0)
    };
    w.job("req-1", low);
    w.job("req-2", spec(JobKind::Array, Priority::Low, 20, 2, 0));
    let intents = w.plan(&HashMap::new());
    w.carry_out(&intents);
    assert_eq!(w.view.jobs["req-1"].placed, 20, "guests use idle machines");
    assert_eq!(
        w.view.jobs["req-2"].placed, 0,
        "without checkpoints: no guest"
    );
    w.job("req-3", spec(JobKind::Gang, Priority::Normal, 2, 21, 2));
    let stops = w.plan(&HashMap::new());
    let saves = |i: &JobChange| matches!(i, JobChange::Stop { grace, .. } if *grace == 6 * SECOND);
    assert!(!stops.is_empty() && stops.iter().all(saves), "{stops:?}");
    w.carry_out(&stops);
    assert_eq!(w.plan(&HashMap::new()), vec![], "it waits for them");
    let left: Vec<JobChange> = (0..20)
        .map(|index| JobChange::AttemptEnded {
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
    w.job(
        "req-1",
        spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    let all = w.plan_of(&HashMap::new(), &|id| id == "m-000001");
    w.carry_out(&all);
    assert!(
        w.view.tasks_by_machine.contains_key("m-000001"),
        "its own first"
    );
    w.job(
        "req-2",
        spec(JobKind::Service, Priority::Production, 1, 1, 0),
    );
    w.job("req-3", spec(JobKind::Array, Priority::Normal, 1, 1, 0));
    let next = w.plan_of(&HashMap::new(), &|id| id == "m-000000");
    w.carry_out(&next);
    let on = |j: &str| match w.view.jobs[j].slot(0) {
        Some(TaskState::Placed(p)) => p.machine.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(on("req-2"), "m-000001", "another's, where its image is");
    assert_eq!(on("req-3"), "m-000000", "an array stays with its owner");
}

/// Room of an exit that is known and not written yet is used; without it nothing starts.
#[test]
fn room_of_unwritten_exits_is_used() {
    let mut w = World::new(&[(false, false)]);
    w.job("req-1", spec(JobKind::Array, Priority::Normal, 1, 16, 0));
    let first = w.plan(&HashMap::new());
    w.carry_out(&first);
    w.job("req-2", spec(JobKind::Array, Priority::Normal, 1, 16, 0));
    assert_eq!(w.plan(&HashMap::new()), vec![]);
    let room = w.view.jobs["req-1"].spec.resources;
    let freed = HashMap::from_iter([(MachineId::from("m-000000"), room)]);
    let next = w.plan(&freed);
    w.carry_out(&next);
    let slot = |j: &str| w.view.jobs[j].slot(0).cloned();
    assert!(
        matches!(slot("req-1"), Some(TaskState::Placed(_))),
        "not written"
    );
    assert!(matches!(slot("req-2"), Some(TaskState::Placed(_))));
}

/// A charter makes its machines known with one write; a machine that was returned stays gone, and
/// one with a key of its own outlives the charter.
#[test]
fn a_charter_stands_for_its_machines_until_they_have_keys() {
    let mut w = World::new(&[]);
    let c = ScaleOutRequest {
        machine_type: "cpu".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
        requested_at: 7,
        machines: vec!["m-1".into(), "m-2".into(), "m-3".into()],
    };
    w.put(keys::scale_out_request("r-1"), to_value(&c));
    assert_eq!(w.view.machines.len(), 3);
    assert_eq!(w.view.machines["m-1"].state, MachineState::Booting);
    let up = MachineRecord {
        state: MachineState::Up,
        session: 1,
        ..c.machine()
    };
    w.put(keys::machine("m-1"), to_value(&up));
    w.put(keys::machine("m-2"), to_value(&up));
    w.rev += 1;
    let rev = w.rev;
    w.view.delete(&keys::machine("m-2"), rev);
    w.put(keys::scale_out_request("r-2"), to_value(&c));
    assert!(!w.view.machines.contains_key("m-2"), "returned and gone");
    assert_eq!(w.view.machines["m-1"].state, MachineState::Up);
    for name in ["r-1", "r-2"] {
        w.rev += 1;
        let rev = w.rev;
        w.view.delete(&keys::scale_out_request(name), rev);
    }
    let left: Vec<&str> = w.view.machines.keys().map(|k| &**k).collect();
    assert_eq!(left, vec!["m-1"]);
}

/// Machines marked together are on their way back whatever their own keys say; one that got a task
/// after all stays; one that is gone does not come back by a late write, nor from a list that lags.
#[test]
fn machines_leave_together() {
    let mut w = World::new(&[(false, false), (false, false)]);
    let names: Vec<MachineId> = w.view.machines.keys().cloned().collect();
    let up = w.view.machines[&names[0]].clone();
    let key = keys::leaving("a");
    let leaving = |names: &[MachineId], gone| {
        to_value(&TerminationBatch {
            machines: names.to_vec(),
            terminated: gone,
            ..TerminationBatch::default()
        })
    };
    w.put(key.clone(), leaving(&names, false));
    let closing = MachineRecord {
        state: MachineState::Closing,
        ..up.clone()
    };
    w.put(keys::machine(&names[0]), to_value(&closing));
    assert!(
        w.view
            .machines
            .values()
            .all(|h| h.state == MachineState::Returning)
    );
    w.put(key.clone(), leaving(&names[1..], false));
    assert_eq!(w.view.machines[&names[0]].state, MachineState::Closing);
    w.put(key.clone(), leaving(&names[1..], true));
    w.put(keys::machine(&names[1]), to_value(&up));
    assert!(
        !w.view.machines.contains_key(&names[1]),
        "written after it was gone"
    );
    let t = forget_gone(&w.view, 5).expect("keys to delete");
    w.apply(&t);
    assert_eq!(
        t.mutations.len(),
        2,
        "the machine's key, then what named it"
    );
    assert!(w.view.deleted(&keys::machine(&names[1])) && w.view.termination_batches.is_empty());
}

/// A gang that lost two attempts keeps off spot machines: each of them that is taken ends the attempt.
#[test]
fn a_gang_that_lost_attempts_keeps_off_spot_machines() {
    for (lost, spot) in [(1, true), (2, false)] {
        let mut w = World::new(&[(true, true), (true, true), (true, false), (true, false)]);
        let slots = TaskBlock(vec![TaskState::Waiting(lost); 2]);
        let s = spec(JobKind::Gang, Priority::Normal, 2, 8, 1);
        w.put(keys::job("req-1"), to_value(&JobRecord(s, slots)));
        let intents = w.plan(&HashMap::new());
        let Some(JobChange::Place { tasks, .. }) = intents.first() else {
            panic!("not placed: {intents:?}");
        };
        assert!(
            tasks
                .iter()
                .all(|(_, h, _)| w.view.machines[h].spot == spot)
        );
    }
}

/// One machine that does not come up is late once others that were rented with it are up; if all boot
/// slowly, none is.
#[test]
fn one_machine_is_late_and_all_are_not() {
    let mut w = World::new(&[(true, false), (true, false)]);
    let names: Vec<MachineId> = w.view.machines.keys().cloned().collect();
    let ready = (w.view.machine_types["gpu"].boot_time_s * 1e6) as u64;
    let boots = MachineRecord {
        state: MachineState::Booting,
        rented_at: SECOND,
        ..w.view.machines[&names[0]].clone()
    };
    let up = MachineRecord {
        state: MachineState::Up,
        ..boots.clone()
    };
    for n in &names {
        w.put(keys::machine(n), to_value(&boots));
    }
    let at = SECOND + ready * 2 + MAX_READY_WRITE_DELAY;
    assert!(
        not_expected(&w.view, at, &|_| false).is_empty(),
        "all are late"
    );
    w.put(keys::machine(&names[0]), to_value(&up));
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
    let names: Vec<MachineId> = w.view.machines.keys().take(30).cloned().collect();
    let holds = |w: &World, t: &Transaction| {
        t.preconditions
            .iter()
            .all(|g| w.view.version(&g.key) == g.version)
    };
    let late = declare_dead(&w.view, "n-1-lost-1", names.clone());
    assert_eq!(late.mutations.len(), 1);
    let shard = keys::shard(shard_of(&names[7]));
    let newer = Shard {
        owner: "m".into(),
        lease: 2,
        term: 2,
    };
    w.put(shard, to_value(&newer));
    assert!(!holds(&w, &late), "its owner was deposed");
    let t = declare_dead(&w.view, "n-1-lost-2", names.clone());
    assert!(holds(&w, &t));
    w.apply(&t);
    let state = |w: &World, id: &MachineId| w.view.machines.get(id).map(|h| h.state);
    assert!(
        names
            .iter()
            .all(|id| state(&w, id) == Some(MachineState::Returning))
    );
    let gone = TerminationBatch {
        machines: names.clone(),
        terminated: true,
        declared_dead: true,
    };
    w.put(keys::leaving("n-1-lost-2"), to_value(&gone));
    assert_eq!(w.view.machines.len(), 10);
}
