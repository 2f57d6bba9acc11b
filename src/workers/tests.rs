//! Tests of the pure decisions of `workers`: what heartbeats and silence prove, and which commands follow.

use super::*;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::jobs::model::{JobRecord, JobSpec, Placement, Resources, TaskBlock, TaskState};
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::to_value;
use crate::wire::user::JobKind;
use crate::wire::user::Priority;
use crate::wire::worker::{Command, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use std::collections::BTreeMap;

fn view(task_state: TaskState, cancelled: bool) -> ClusterState {
    let mut cluster = ClusterState::default();
    let spec = JobSpec {
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: 1,
        resources: Resources::default(),
        image: "i".into(),
        image_size: 0,
        machine_types: None,
        zone: None,
        single_zone: false,
        zone_spread: false,
        allow_spot: false,
        estimated_run_time: 0,
        checkpoint_interval: 0,
        checkpoint_save_time: 0,
        deadline: None,
        submitted_at: 0,
        cancelled,
        dependencies: Default::default(),
    };
    let job = JobRecord(spec, TaskBlock(vec![task_state]));
    cluster.put(&keys::job("req-1"), &to_value(&job), 1);
    cluster
}

fn placed(attempt: u32) -> TaskState {
    TaskState::Placed(Placement {
        attempt,
        machine: "m".into(),
        session: 1,
        stop: None,
    })
}

fn heartbeat(sequence: u64, token: u64, task: Option<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "m".into(),
        address: "10.0.0.1:1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        sequence,
        fencing_token: token,
        preemption_notice_s: None,
        tasks: task
            .map(|status| ReportedTask {
                task: "req-1/0".into(),
                attempt: 1,
                status,
                reason: (status == TaskStatus::Exited).then_some(ExitReason::Done),
                saved: None,
            })
            .into_iter()
            .collect(),
    }
}

fn concluded(cluster: &ClusterState, worker: &WorkerState, now: Micros) -> usize {
    let mut out = Vec::new();
    reconcile(cluster, &"m".into(), worker, 18 * SECOND, now, &mut out);
    out.len()
}

fn put_machine_record(cluster: &mut ClusterState) {
    let record = crate::autoscaler::model::MachineRecord {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        address: None,
        session: 1,
        state: crate::autoscaler::model::MachineState::Up,
        rented_at: 0,
    };
    cluster.put(&keys::machine("m"), &to_value(&record), 3);
}

/// A direct start that was not acknowledged may run after a `Forget`: none until it is acknowledged.
#[test]
fn nothing_is_cleared_while_a_start_may_still_come() {
    let id: MachineId = "m".into();
    let cluster = view(placed(1), false);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 5, None), HeartbeatSource::Periodic, 1);
    let direct = commands(&cluster, &id, &mut worker, CommandChannel::Direct);
    assert!(matches!(direct.as_slice(), [Command::Start { .. }]));
    worker.record_direct_starts(&direct);
    worker.apply_heartbeat(
        &heartbeat(2, 5, Some(TaskStatus::Exited)),
        HeartbeatSource::Periodic,
        2,
    );
    let over = view(TaskState::Done, false);
    assert!(commands(&over, &id, &mut worker, CommandChannel::HeartbeatAnswer).is_empty());
    assert!(
        worker.blocked_by_unacknowledged_start(),
        "only a higher term helps"
    );
    worker.acknowledge_direct(&direct);
    assert!(matches!(
        commands(&over, &id, &mut worker, CommandChannel::HeartbeatAnswer).as_slice(),
        [Command::Forget { .. }]
    ));
    // And never directly: it could overtake a start in the answer to a heartbeat.
    assert!(commands(&over, &id, &mut worker, CommandChannel::Direct).is_empty());
}

/// A start in the answer to a heartbeat is executed before the next heartbeat or never; the reply to a
/// direct call in between proves nothing, and neither does a heartbeat with another token.
#[test]
fn absence_is_proved_by_the_next_report_alone() {
    let id: MachineId = "m".into();
    let mut cluster = view(placed(1), false);
    put_machine_record(&mut cluster);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 4, None), HeartbeatSource::Periodic, 1);
    let mut gone = view(placed(1), true);
    put_machine_record(&mut gone);
    assert_eq!(
        concluded(&gone, &worker, 2),
        0,
        "an older owner may still act"
    );
    worker.apply_heartbeat(&heartbeat(2, 5, None), HeartbeatSource::Periodic, 2);
    assert_eq!(
        commands(&cluster, &id, &mut worker, CommandChannel::HeartbeatAnswer).len(),
        1
    );
    assert_eq!(concluded(&gone, &worker, 3), 0, "the answer is on its way");
    worker.apply_heartbeat(&heartbeat(3, 5, None), HeartbeatSource::CommandReply, 3);
    assert_eq!(concluded(&gone, &worker, 4), 0, "still on its way");
    worker.apply_heartbeat(&heartbeat(4, 5, None), HeartbeatSource::Periodic, 4);
    assert_eq!(concluded(&gone, &worker, 5), 1);
    assert_eq!(
        concluded(&cluster, &worker, 5),
        0,
        "what should run is started again"
    );
}

/// A machine is dead if it misses a call sent after another was in contact; calls of an isolated controller
/// all go unanswered, and it must not declare any machine dead.
#[test]
fn a_cut_is_not_a_dead_machine() {
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 5, None), HeartbeatSource::Periodic, SECOND);
    for second in 2..9 {
        worker.record_missed_probe(SECOND, second * SECOND);
    }
    assert!(
        !worker.probes.confirmed_dead,
        "nobody else was heard either"
    );
    assert!(!worker.declared_dead(5 * SECOND, 10 * SECOND, false));
    assert!(!worker.declared_dead(5 * SECOND, 30 * SECOND, true));
    assert!(
        worker.declared_dead(5 * SECOND, 30 * SECOND, false),
        "not for ever"
    );
    worker.record_missed_probe(2 * SECOND + 1, 9 * SECOND);
    assert!(worker.declared_dead(5 * SECOND, 9 * SECOND, true));
    worker.apply_heartbeat(
        &heartbeat(2, 5, None),
        HeartbeatSource::Periodic,
        10 * SECOND,
    );
    assert!(!worker.probes.confirmed_dead);
    worker.record_missed_probe(10 * SECOND, 11 * SECOND);
    assert!(!worker.probes.confirmed_dead, "one miss is not enough");
}

/// A machine whose owner ended before it wrote that the machine is up: partitioned as well, it shows the new
/// owner no token and has no address in its record, so nobody can call it.
#[test]
fn a_machine_with_tasks_is_given_up_although_its_key_says_that_it_boots() {
    let worker = WorkerState::new(5, 100 * SECOND);
    let lost = |state, has_tasks, now| {
        let check = LivenessCheck {
            lost_after: 5 * SECOND,
            now,
            isolated: false,
        };
        worker.lost(state, has_tasks, check)
    };
    let late = 111 * SECOND;
    assert!(
        !lost(MachineState::Booting, false, late),
        "it may come up yet"
    );
    assert!(!lost(MachineState::Booting, true, 105 * SECOND));
    assert!(lost(MachineState::Booting, true, late));
    assert!(lost(MachineState::Up, false, late));
}

/// Two controllers that were refused by the state service, and a third that took a shard of one of them:
/// its worker has to come to the third, and not be redirected to the one that drove it before.
#[test]
fn a_worker_that_shows_a_newer_token_is_sent_to_nobody_older() {
    use crate::membership::{Member, Shard};
    let mut cluster = ClusterState::default();
    let member = Member::new_incarnation(None, 7, 2, 0);
    cluster.put(&keys::member("a"), &to_value(&member), 1);
    let shard = Shard {
        owner: "a".into(),
        lease: 7,
        term: 4,
    };
    cluster.put(&keys::shard(3), &to_value(&shard), 2);
    assert_eq!(redirect_target(&cluster, "c", 3, 3), Some("a"));
    assert_eq!(redirect_target(&cluster, "c", 3, 4), Some("a"));
    assert_eq!(redirect_target(&cluster, "c", 3, 5), None);
    assert_eq!(redirect_target(&cluster, "a", 3, 4), None, "not to itself");
    assert_eq!(redirect_target(&cluster, "c", 2, 4), None);
    cluster.delete(&keys::member("a"), 3);
    assert_eq!(
        redirect_target(&cluster, "c", 3, 4),
        None,
        "its lease ended"
    );
}

/// Machines that were only taken over do not count as in contact.
#[test]
fn a_machine_taken_over_has_said_nothing() {
    let mut all: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
    all.insert("a".into(), WorkerState::new(5, 10 * SECOND));
    all.insert("b".into(), WorkerState::new(5, 11 * SECOND));
    let call = |all: &mut BTreeMap<MachineId, WorkerState>, now| {
        let others = latest_contact(all);
        if let Some(worker) = all.get_mut("a") {
            worker.record_missed_probe(others, now);
        }
        all["a"].declared_dead(5 * SECOND, now, false)
    };
    assert!(!call(&mut all, 11 * SECOND));
    all.insert("c".into(), WorkerState::new(5, 12 * SECOND));
    assert!(!call(&mut all, 13 * SECOND), "c was taken over, not heard");
    if let Some(worker) = all.get_mut("b") {
        worker.apply_heartbeat(
            &heartbeat(1, 5, None),
            HeartbeatSource::Periodic,
            13 * SECOND,
        );
    }
    assert!(
        call(&mut all, 14 * SECOND),
        "b was heard, and a missed again"
    );
}

/// A controller that loses its workers knows that it is isolated before it declares the first of them dead,
/// also where heartbeats are as far apart as the time after which a machine is declared dead.
#[test]
fn a_controller_that_is_cut_off_knows_before_it_gives_machines_up() {
    const HEARTBEAT_INTERVAL: Micros = 5 * SECOND;
    const LOST_AFTER: Micros = 5 * SECOND;
    let cut = 100 * SECOND;
    let fleet = |gone: usize, now: Micros| -> BTreeMap<MachineId, WorkerState> {
        (0..100)
            .map(|number| {
                let mut worker = WorkerState::new(5, 0);
                // Half have replicas and are probed often; others are in contact when they send a heartbeat.
                let last = cut
                    - if number % 2 == 0 {
                        0
                    } else {
                        HEARTBEAT_INTERVAL * number / 100
                    };
                worker.heartbeat.last_contact_at =
                    if (number as usize) < gone { last } else { now };
                let called = worker.heartbeat.last_contact_at
                    + if number % 2 == 0 {
                        SECOND
                    } else {
                        HEARTBEAT_INTERVAL * 5 / 4
                    };
                if (number as usize) < gone && called < now {
                    worker.probes.last_failed_at = called;
                }
                (format!("m-{number:03}").into(), worker)
            })
            .collect()
    };
    let now = cut + LOST_AFTER;
    assert!(isolated(
        &fleet(100, now),
        &|_| true,
        HEARTBEAT_INTERVAL,
        now
    ));
    assert!(!isolated(
        &fleet(30, now),
        &|_| true,
        HEARTBEAT_INTERVAL,
        now
    ));
    assert!(!isolated(
        &fleet(1, now),
        &|_| true,
        HEARTBEAT_INTERVAL,
        now
    ));
}

/// Silence proves nothing before the lease must be over, and only under our token.
#[test]
fn silence_alone_proves_nothing() {
    let mut cluster = view(placed(1), false);
    put_machine_record(&mut cluster);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(
        &heartbeat(1, 4, Some(TaskStatus::Running)),
        HeartbeatSource::Periodic,
        1,
    );
    assert_eq!(concluded(&cluster, &worker, 900 * SECOND), 0);
    worker.apply_heartbeat(
        &heartbeat(2, 5, Some(TaskStatus::Running)),
        HeartbeatSource::Periodic,
        2 * SECOND,
    );
    worker.heartbeat.last_answered_at = Some(3 * SECOND);
    assert_eq!(concluded(&cluster, &worker, 21 * SECOND), 0);
    assert_eq!(concluded(&cluster, &worker, 23 * SECOND), 1);
    // A late heartbeat changes nothing that a newer one said.
    worker.apply_heartbeat(
        &heartbeat(1, 4, None),
        HeartbeatSource::Periodic,
        24 * SECOND,
    );
    assert_eq!(worker.tasks.len(), 1);
}
