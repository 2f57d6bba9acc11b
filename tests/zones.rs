//! Jobs with zone constraints, and scale-out in the zones of these: what is lost in a zone is replaced there.

mod common;

use common::{Store, machine_type, spec, up};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::autoscaler::{CapacityForecast, ScalingDecision, decide};
use coppergw::jobs::model::{JobRecord, JobSpec, Placement, Resources, TaskBlock, TaskState};
use coppergw::policy::Policy;
use coppergw::scheduling::{SchedulableMachine, Schedule, SchedulingInput, schedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt};
use proptest::prelude::*;

const NOW: Micros = 500 * SECOND;

/// A fleet over three zones of machines with 16 CPUs.
struct TestCluster(Store);

impl TestCluster {
    fn new() -> TestCluster {
        let mut s = Store::default();
        let mut t = machine_type("cpu", 16.0, 0.0);
        t.zones = vec!["a".into(), "b".into(), "c".into()];
        s.put(keys::TYPES.into(), &vec![t]);
        TestCluster(s)
    }

    fn machine(&mut self, id: &str, zone: &str, state: MachineState) {
        let h = MachineRecord {
            zone: zone.into(),
            state,
            ..up("cpu")
        };
        self.0.put(keys::machine(id), &h);
    }

    fn job(&mut self, id: &str, s: &JobSpec, slots: Vec<TaskState>) {
        self.0
            .put(keys::job(id), &JobRecord(s.clone(), TaskBlock(slots)));
    }

    fn view(&self) -> ClusterState {
        let mut v = ClusterState::default();
        for (rev, key, x) in &self.0.log {
            match x {
                Some(x) => v.put(key, x, *rev),
                None => v.delete(key, *rev),
            }
        }
        v.revision = self.0.rev;
        v
    }

    fn decide(&self, refused: &dyn Fn(&str, bool) -> bool) -> ScalingDecision {
        let v = self.view();
        let forecast = forecast(&v);
        decide(&CapacityForecast {
            view: &v,
            schedule: &forecast,
            policy: &Policy::default(),
            objectives: &[],
            teams: &[],
            wall_clock: NOW,
            refused: &|_, zone, spot| refused(zone, spot),
            idle_since: &HashMap::new(),
            machines_per_request: 50,
            known_up: &|_| false,
        })
    }
}

fn forecast(v: &ClusterState) -> Schedule {
    schedule(&SchedulingInput {
        view: v,
        wall_clock: NOW,
        teams: &[],
        objectives: &[],
        schedulable: &|_, h| {
            let counts = matches!(h.state, MachineState::Up | MachineState::Booting);
            counts.then_some(SchedulableMachine {
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
        forecast: true,
        write_limit: None,
    })
}

fn job(rank: Priority, tasks: u32, cpus: i64) -> JobSpec {
    JobSpec {
        priority: rank,
        resources: Resources {
            cpus: cpus * 1000,
            gpus: 0,
            memory: 1000,
        },
        estimated_run_time: 60 * SECOND,
        submitted_at: NOW - 5 * SECOND,
        ..spec(JobKind::Array, tasks)
    }
}

fn bound(rank: Priority, tasks: u32, zone: &str) -> JobSpec {
    JobSpec {
        zone: Some(zone.into()),
        ..job(rank, tasks, 4)
    }
}

fn zones(d: &ScalingDecision) -> Vec<&str> {
    let mut list: Vec<&str> = d.scale_out.iter().map(|c| c.zone.as_str()).collect();
    list.dedup();
    list
}

/// Its zone has lost its machines, the others have room and are cheaper to no one. Beside it other work waits that
/// may go anywhere: machines were rented for all of it where it was cheapest, and it waited there for good.
#[test]
fn what_is_bound_to_a_zone_is_rented_for_there() {
    let mut s = TestCluster::new();
    for k in 0..6 {
        s.machine(&format!("m-{k}"), "a", MachineState::Up);
    }
    s.job("req-1", &bound(Priority::Low, 8, "b"), Vec::new());
    assert_eq!(zones(&s.decide(&|_, _| false)), ["b"]);
    s.job("req-2", &job(Priority::Low, 400, 4), Vec::new());
    let d = s.decide(&|_, _| false);
    assert!(
        zones(&d).contains(&"b") && zones(&d).contains(&"a"),
        "{d:?}"
    );
    // Cheap ones are gone there, then all: the others are of no use to it.
    let d = s.decide(&|zone, spot| zone == "b" && spot);
    assert!(d.scale_out.iter().any(|c| c.zone == "b" && !c.spot));
    let d = s.decide(&|zone, _| zone == "b");
    assert!(!zones(&d).contains(&"b") && !d.scale_out.is_empty());
    let mut alone = TestCluster::new();
    alone.job("req-1", &bound(Priority::Low, 8, "b"), Vec::new());
    assert!(alone.decide(&|zone, _| zone == "b").scale_out.is_empty());
}

/// Room in its own zone is what counts: no machines come for what the zone has room for.
#[test]
fn what_has_room_in_its_zone_is_not_rented_for() {
    let mut s = TestCluster::new();
    s.machine("m-1", "b", MachineState::Up);
    s.machine("m-2", "b", MachineState::Booting);
    s.job("req-1", &bound(Priority::Normal, 8, "b"), Vec::new());
    assert!(s.decide(&|_, _| false).scale_out.is_empty());
}

fn placed(machine: &str) -> TaskState {
    TaskState::Placed(Placement {
        attempt: 1,
        machine: machine.into(),
        session: 1,
        stop: None,
    })
}

/// At most half of its tasks may be in one zone, and one zone is gone: the rest comes in another, where it may go.
#[test]
fn what_has_to_be_spread_is_rented_for_where_it_may_go() {
    for kind in [JobKind::Service, JobKind::Array] {
        let mut s = TestCluster::new();
        s.machine("m-1", "a", MachineState::Up);
        let wide = JobSpec {
            kind,
            priority: Priority::High,
            zone_spread: true,
            ..job(Priority::High, 4, 4)
        };
        let slots = vec![
            placed("m-1"),
            placed("m-1"),
            TaskState::Waiting(1),
            TaskState::Waiting(1),
        ];
        s.job("req-1", &wide, slots.clone());
        // For services some room is kept besides, wherever.
        let of = |d: ScalingDecision| {
            let list = d.scale_out.into_iter().map(|c| c.zone);
            let list = list.filter(|z| kind == JobKind::Array || z != "a");
            list.collect::<Vec<String>>()
        };
        assert_eq!(of(s.decide(&|_, _| false)), ["b"], "two are in a");
        assert_eq!(of(s.decide(&|zone, _| zone == "b")), ["c"]);
        // All in one zone: where the first are.
        let close = JobSpec {
            single_zone: true,
            zone_spread: false,
            ..wide
        };
        let mut s = TestCluster::new();
        s.machine("m-1", "c", MachineState::Up);
        s.job("req-1", &close, vec![placed("m-1"), TaskState::Waiting(1)]);
        let full = job(Priority::High, 1, 12);
        s.job("req-2", &full, vec![placed("m-1")]);
        assert_eq!(of(s.decide(&|_, _| false)), ["c"]);
    }
}

/// Machines close while nothing waits. What comes then and is not worth a rental still gets their room, before it
/// has waited for long.
#[test]
fn room_on_closing_machines_is_for_what_waited_long() {
    let reopened = |waited: Micros| {
        let mut s = TestCluster::new();
        for k in 0..40 {
            let id = format!("m-{k}");
            s.machine(&id, "a", MachineState::Up);
            s.job(
                &format!("req-{k}"),
                &job(Priority::Low, 1, 16),
                vec![placed(&id)],
            );
        }
        s.machine("m-90", "a", MachineState::Closing);
        let late = JobSpec {
            submitted_at: NOW - waited,
            estimated_run_time: SECOND,
            ..job(Priority::Low, 1, 4)
        };
        s.job("req-99", &late, Vec::new());
        s.decide(&|_, _| false).uncordon.len()
    };
    assert_eq!(reopened(5 * SECOND), 0, "what runs ends soon");
    assert_eq!(reopened(60 * SECOND), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// Whatever waits where: each zone with bound work that has no room and may be had is rented in, or has machines
    /// that boot; and no zone that nobody asked for gets any.
    #[test]
    fn every_zone_with_bound_work_gets_machines(
        machines in proptest::collection::vec((0usize..3, any::<bool>()), 0..8),
        jobs in proptest::collection::vec((0usize..4, 0usize..2, 1u32..40), 1..10),
    ) {
        let names = ["a", "b", "c"];
        let mut s = TestCluster::new();
        for (k, (zone, boots)) in machines.iter().enumerate() {
            let state = if *boots { MachineState::Booting } else { MachineState::Up };
            s.machine(&format!("m-{k}"), names[*zone], state);
        }
        let mut anywhere = false;
        for (k, (zone, rank, tasks)) in jobs.iter().enumerate() {
            let rank = [Priority::Normal, Priority::Low][*rank];
            match names.get(*zone) {
                Some(z) => s.job(&format!("req-{k}"), &bound(rank, *tasks, z), Vec::new()),
                None => {
                    anywhere = true;
                    s.job(&format!("req-{k}"), &job(rank, *tasks, 4), Vec::new());
                }
            }
        }
        let v = s.view();
        let lacks: Vec<&str> = {
            let f = forecast(&v);
            let zone = |id: &str| v.jobs[id].spec.zone.as_deref();
            names.into_iter().filter(|z| f.unplaced.iter().any(|(id, _)| zone(id) == Some(z))).collect()
        };
        let d = s.decide(&|_, _| false);
        for z in names {
            let rented = zones(&d).contains(&z);
            prop_assert!(rented || !lacks.contains(&z), "{z}: {d:?}");
            prop_assert!(!rented || lacks.contains(&z) || anywhere, "{z}: {d:?}");
        }
    }
}
