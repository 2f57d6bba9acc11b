//! Jobs with zone constraints, and scale-out in the zones of these jobs: capacity that is lost in a zone is
//! replaced there.

mod common;

use common::{Store, machine_type, spec, up};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::autoscaler::{CapacityForecast, ScalingDecision, decide};
use coppergw::ids::MachineId;
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

/// A simulated cluster of machines with 16 CPUs in three zones.
struct TestCluster(Store);

impl TestCluster {
    fn new() -> TestCluster {
        let mut store = Store::default();
        let mut cpu_type = machine_type("cpu", 16.0, 0.0);
        cpu_type.zones = vec!["a".into(), "b".into(), "c".into()];
        store.put(keys::MACHINE_TYPES.into(), &vec![cpu_type]);
        TestCluster(store)
    }

    fn machine(&mut self, id: &str, zone: &str, state: MachineState) {
        let record = MachineRecord {
            zone: zone.into(),
            state,
            ..up("cpu")
        };
        self.0.put(keys::machine(id), &record);
    }

    fn job(&mut self, id: &str, spec: &JobSpec, slots: Vec<TaskState>) {
        self.0.put(
            keys::job(id),
            &JobRecord(spec.clone(), TaskBlock::from(slots)),
        );
    }

    fn view(&self) -> ClusterState {
        let mut view = ClusterState::default();
        self.0.update_view(&mut view, &mut 0);
        view
    }

    fn decide(&self, refused: &dyn Fn(&str, bool) -> bool) -> ScalingDecision {
        let view = self.view();
        let forecast = forecast(&view);
        decide(&CapacityForecast {
            view: &view,
            schedule: &forecast,
            policy: &Policy::default(),
            objectives: &[],
            teams: &[],
            wall_clock: NOW,
            recently_refused: &|_, zone, spot| refused(zone, spot),
            idle_since: &HashMap::new(),
            max_machines_per_request: 50,
            is_known_ready: &|_| false,
        })
    }
}

fn forecast(cluster_state: &ClusterState) -> Schedule {
    let schedulable = |_: &MachineId, record: &MachineRecord| {
        let usable = matches!(record.state, MachineState::Up | MachineState::Booting);
        usable.then_some(SchedulableMachine {
            session: record.session,
            owned: true,
        })
    };
    let released = HashMap::new();
    schedule(&SchedulingInput {
        forecast: true,
        ..SchedulingInput::of_whole_cluster(cluster_state, NOW, &schedulable, &released)
    })
}

fn job(job_priority: Priority, tasks: u32, cpus: i64) -> JobSpec {
    JobSpec {
        priority: job_priority,
        resources: Resources {
            cpus: cpus * 1000,
            gpus: 0,
            memory: 1000,
            heartbeat_bytes: 0,
        },
        estimated_run_time: 60 * SECOND,
        submitted_at: NOW - 5 * SECOND,
        ..spec(JobKind::Array, tasks)
    }
}

fn zone_bound_job(job_priority: Priority, tasks: u32, zone: &str) -> JobSpec {
    JobSpec {
        zone: Some(zone.into()),
        ..job(job_priority, tasks, 4)
    }
}

fn zones_scaled_out(decision: &ScalingDecision) -> Vec<&str> {
    let mut list: Vec<&str> = decision.scale_out.iter().map(|c| c.zone.as_str()).collect();
    list.dedup();
    list
}

/// The zone of a job has lost its machines; the other zones have free capacity, and none is cheaper. Other
/// jobs wait that may run in any zone. Previously, machines were provisioned for all of these jobs in the
/// cheapest zone, and the zone-bound job waited forever.
#[test]
fn zone_bound_jobs_scale_out_in_their_zone() {
    let mut cluster = TestCluster::new();
    for index in 0..6 {
        cluster.machine(&format!("m-{index}"), "a", MachineState::Up);
    }
    cluster.job("req-1", &zone_bound_job(Priority::Low, 8, "b"), Vec::new());
    assert_eq!(zones_scaled_out(&cluster.decide(&|_, _| false)), ["b"]);
    cluster.job("req-2", &job(Priority::Low, 400, 4), Vec::new());
    let decision = cluster.decide(&|_, _| false);
    assert!(
        zones_scaled_out(&decision).contains(&"b") && zones_scaled_out(&decision).contains(&"a"),
        "{decision:?}"
    );
    // Spot machines are unavailable in the zone, then all machines: those of other zones are of no use to the
    // job.
    let decision = cluster.decide(&|zone, spot| zone == "b" && spot);
    assert!(decision.scale_out.iter().any(|c| c.zone == "b" && !c.spot));
    let decision = cluster.decide(&|zone, _| zone == "b");
    assert!(!zones_scaled_out(&decision).contains(&"b") && !decision.scale_out.is_empty());
    let mut single_job_cluster = TestCluster::new();
    single_job_cluster.job("req-1", &zone_bound_job(Priority::Low, 8, "b"), Vec::new());
    assert!(
        single_job_cluster
            .decide(&|zone, _| zone == "b")
            .scale_out
            .is_empty()
    );
}

/// No machines are added for a zone-bound job while its zone has free capacity for it.
#[test]
fn zone_bound_jobs_use_free_capacity_first() {
    let mut cluster = TestCluster::new();
    cluster.machine("m-1", "b", MachineState::Up);
    cluster.machine("m-2", "b", MachineState::Booting);
    cluster.job(
        "req-1",
        &zone_bound_job(Priority::Normal, 8, "b"),
        Vec::new(),
    );
    assert!(cluster.decide(&|_, _| false).scale_out.is_empty());
}

fn placed(machine: &str) -> TaskState {
    TaskState::Placed(Placement {
        attempt: 1,
        machine: machine.into(),
        session: 1,
        stop_grace_period: None,
    })
}

/// At most half of the tasks of a job may be in one zone, and one zone has failed: the rest is placed on new
/// machines in another zone that the constraint allows.
#[test]
fn spread_jobs_scale_out_in_allowed_zones() {
    for kind in [JobKind::Service, JobKind::Array] {
        let mut cluster = TestCluster::new();
        cluster.machine("m-1", "a", MachineState::Up);
        let spread_job = JobSpec {
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
        cluster.job("req-1", &spread_job, slots.clone());
        // Machines of the capacity reserve for services, which may be in any zone, are ignored.
        let scale_out_zones = |decision: ScalingDecision| {
            let list = decision.scale_out.into_iter().map(|c| c.zone);
            let list = list.filter(|z| kind == JobKind::Array || z != "a");
            list.collect::<Vec<String>>()
        };
        assert_eq!(
            scale_out_zones(cluster.decide(&|_, _| false)),
            ["b"],
            "two tasks run in zone a"
        );
        assert_eq!(
            scale_out_zones(cluster.decide(&|zone, _| zone == "b")),
            ["c"]
        );
        // A job with all tasks in one zone scales out where its first tasks run.
        let single_zone_job = JobSpec {
            single_zone: true,
            zone_spread: false,
            ..spread_job
        };
        let mut cluster = TestCluster::new();
        cluster.machine("m-1", "c", MachineState::Up);
        cluster.job(
            "req-1",
            &single_zone_job,
            vec![placed("m-1"), TaskState::Waiting(1)],
        );
        let other_job = job(Priority::High, 1, 12);
        cluster.job("req-2", &other_job, vec![placed("m-1")]);
        assert_eq!(scale_out_zones(cluster.decide(&|_, _| false)), ["c"]);
    }
}

/// Machines close while no job waits. A job that is submitted afterwards and does not justify a new machine
/// still gets their capacity, before it has waited for long.
#[test]
fn closing_machines_reopen_for_long_waiting_jobs() {
    let reopened = |waited: Micros| {
        let mut cluster = TestCluster::new();
        for index in 0..40 {
            let id = format!("m-{index}");
            cluster.machine(&id, "a", MachineState::Up);
            cluster.job(
                &format!("req-{index}"),
                &job(Priority::Low, 1, 16),
                vec![placed(&id)],
            );
        }
        cluster.machine("m-90", "a", MachineState::Closing);
        let waiting_job = JobSpec {
            submitted_at: NOW - waited,
            estimated_run_time: SECOND,
            ..job(Priority::Low, 1, 4)
        };
        cluster.job("req-99", &waiting_job, Vec::new());
        cluster.decide(&|_, _| false).uncordon.len()
    };
    assert_eq!(reopened(5 * SECOND), 0, "the running tasks end soon");
    assert_eq!(reopened(60 * SECOND), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// For any queue, each zone with zone-bound jobs that lack capacity and with available machines is scaled
    /// out, or has booting machines; and no zone without demand gets any.
    #[test]
    fn every_zone_with_bound_jobs_scales_out(
        machines in proptest::collection::vec((0usize..3, any::<bool>()), 0..8),
        jobs in proptest::collection::vec((0usize..4, 0usize..2, 1u32..40), 1..10),
    ) {
        let names = ["a", "b", "c"];
        let mut cluster = TestCluster::new();
        for (index, (zone, booting)) in machines.iter().enumerate() {
            let state = if *booting { MachineState::Booting } else { MachineState::Up };
            cluster.machine(&format!("m-{index}"), names[*zone], state);
        }
        let mut anywhere = false;
        for (index, (zone, job_priority, tasks)) in jobs.iter().enumerate() {
            let job_priority = [Priority::Normal, Priority::Low][*job_priority];
            match names.get(*zone) {
                Some(zone_name) => cluster.job(&format!("req-{index}"), &zone_bound_job(job_priority, *tasks, zone_name), Vec::new()),
                None => {
                    anywhere = true;
                    cluster.job(&format!("req-{index}"), &job(job_priority, *tasks, 4), Vec::new());
                }
            }
        }
        let view = cluster.view();
        let zones_without_room: Vec<&str> = {
            let forecast = forecast(&view);
            let zone = |id: &str| view.jobs[id].spec.zone.as_deref();
            names.into_iter().filter(|z| forecast.unplaced_tasks.iter().any(|(id, _)| zone(id) == Some(z))).collect()
        };
        let decision = cluster.decide(&|_, _| false);
        for zone in names {
            let scaled_out = zones_scaled_out(&decision).contains(&zone);
            prop_assert!(scaled_out || !zones_without_room.contains(&zone), "{zone}: {decision:?}");
            prop_assert!(!scaled_out || zones_without_room.contains(&zone) || anywhere, "{zone}: {decision:?}");
        }
    }
}
