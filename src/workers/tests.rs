//! Tests of the pure decisions of `workers`: conclusions from heartbeats and missing contact, and the
//! resulting commands.

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
use crate::wire::worker::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use std::collections::BTreeMap;

pub(in crate::workers) fn view(task_state: TaskState, cancelled: bool) -> ClusterState {
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
    let job = JobRecord(spec, TaskBlock::from(vec![task_state]));
    cluster.put(&keys::job("req-1"), &to_value(&job), 1);
    cluster
}

pub(in crate::workers) fn placed(attempt: u32) -> TaskState {
    TaskState::Placed(Placement {
        attempt,
        machine: "m".into(),
        session: 1,
        stop_grace_period: None,
    })
}

pub(in crate::workers) fn heartbeat(
    sequence: u64,
    token: u64,
    task: Option<TaskStatus>,
) -> Heartbeat {
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

/// Returns the token that a worker reports as `value`.
fn token(value: u64) -> FencingToken {
    FencingToken::from_wire(value)
}

pub(in crate::workers) fn ended_attempts(
    cluster: &ClusterState,
    worker: &WorkerState,
    now: Micros,
) -> usize {
    let mut out = Vec::new();
    reconcile(cluster, &"m".into(), worker, 18 * SECOND, now, &mut out);
    out.len()
}

pub(in crate::workers) fn put_machine_record(cluster: &mut ClusterState) {
    let record = crate::autoscaler::model::MachineRecord {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        address: None,
        session: 1,
        state: crate::autoscaler::model::MachineState::Up,
        provisioned_at: 0,
    };
    cluster.put(&keys::machine("m"), &to_value(&record), 3);
}

/// Guards against an attempt that is recorded as ended while a start of it may still be executed. A
/// start in the answer to a heartbeat is executed before the next heartbeat or never. Neither the reply
/// to a direct call in between nor a heartbeat with another token shows that the start is no longer
/// pending.
#[test]
fn only_the_next_periodic_heartbeat_proves_absence() {
    let id: MachineId = "m".into();
    let mut cluster = view(placed(1), false);
    put_machine_record(&mut cluster);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 4, None), HeartbeatSource::Periodic, 1);
    let mut cancelled = view(placed(1), true);
    put_machine_record(&mut cancelled);
    assert_eq!(
        ended_attempts(&cancelled, &worker, 2),
        0,
        "an earlier owner may still send commands"
    );
    worker.apply_heartbeat(&heartbeat(2, 5, None), HeartbeatSource::Periodic, 2);
    assert_eq!(
        commands(&cluster, &id, &mut worker, CommandChannel::HeartbeatAnswer).len(),
        1
    );
    assert_eq!(
        ended_attempts(&cancelled, &worker, 3),
        0,
        "the answer with the start is in transit"
    );
    worker.apply_heartbeat(&heartbeat(3, 5, None), HeartbeatSource::CommandReply, 3);
    assert_eq!(
        ended_attempts(&cancelled, &worker, 4),
        0,
        "the answer may still be in transit"
    );
    worker.apply_heartbeat(&heartbeat(4, 5, None), HeartbeatSource::Periodic, 4);
    assert_eq!(ended_attempts(&cancelled, &worker, 5), 1);
    assert_eq!(
        ended_attempts(&cluster, &worker, 5),
        0,
        "an attempt that is to run is started again instead"
    );
}

/// Guards against an isolated controller that declares machines dead because all its calls go
/// unanswered. Missed calls confirm that a machine is dead only if one of them was sent after contact
/// with another machine. A long time without contact is sufficient only without isolation.
#[test]
fn isolated_controller_declares_no_machine_dead() {
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 5, None), HeartbeatSource::Periodic, SECOND);
    for second in 2..9 {
        worker.record_missed_probe(SECOND, second * SECOND);
    }
    assert!(
        !worker.probes.confirmed_dead,
        "no other machine was in contact either"
    );
    assert!(!worker.declared_dead(5 * SECOND, 10 * SECOND, false));
    assert!(!worker.declared_dead(5 * SECOND, 30 * SECOND, true));
    assert!(
        worker.declared_dead(5 * SECOND, 30 * SECOND, false),
        "the wait is limited unless the controller is isolated"
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
    assert!(
        !worker.probes.confirmed_dead,
        "one missed call is not enough"
    );
}

/// Guards against tasks that wait on a dead machine whose record says booting. This happens if its
/// owner ended before recording the machine as up and the machine is partitioned too: the new owner
/// receives no token from it and cannot call it, because its record has no address.
#[test]
fn booting_machine_with_tasks_is_declared_lost() {
    let worker = WorkerState::new(5, 100 * SECOND);
    let lost = |state, has_tasks, now| {
        let check = LivenessCheck {
            heartbeat_timeout: 5 * SECOND,
            now,
            isolated: false,
        };
        worker.lost(state, has_tasks, check)
    };
    let late = 111 * SECOND;
    assert!(
        !lost(MachineState::Booting, false, late),
        "it may still finish booting"
    );
    assert!(!lost(MachineState::Booting, true, 105 * SECOND));
    assert!(lost(MachineState::Booting, true, late));
    assert!(lost(MachineState::Up, false, late));
}

/// Guards against redirecting a worker back to an earlier owner of its shard. This can happen if the
/// state service refuses two controllers, so that their views are outdated, while a third takes over a
/// shard of one of them. The worker has to reach the third.
#[test]
fn newer_token_prevents_redirect_to_earlier_owner() {
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
    assert_eq!(redirect_target(&cluster, "c", 3, token(3)), Some("a"));
    assert_eq!(redirect_target(&cluster, "c", 3, token(4)), Some("a"));
    assert_eq!(redirect_target(&cluster, "c", 3, token(5)), None);
    assert_eq!(
        redirect_target(&cluster, "a", 3, token(4)),
        None,
        "not to itself"
    );
    assert_eq!(redirect_target(&cluster, "c", 2, token(4)), None);
    cluster.delete(&keys::member("a"), 3);
    assert_eq!(
        redirect_target(&cluster, "c", 3, token(4)),
        None,
        "the owner's lease has expired"
    );
}

/// Guards against machines that count as in contact although they were only taken over and sent no
/// message: the isolation of the controller would go undetected.
#[test]
fn machine_without_messages_is_not_in_contact() {
    let mut machines: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
    machines.insert("a".into(), WorkerState::new(5, 10 * SECOND));
    machines.insert("b".into(), WorkerState::new(5, 11 * SECOND));
    let miss_call = |machines: &mut BTreeMap<MachineId, WorkerState>, now| {
        let latest_contact_of_any = latest_contact(machines);
        if let Some(worker) = machines.get_mut("a") {
            worker.record_missed_probe(latest_contact_of_any, now);
        }
        machines["a"].declared_dead(5 * SECOND, now, false)
    };
    assert!(!miss_call(&mut machines, 11 * SECOND));
    machines.insert("c".into(), WorkerState::new(5, 12 * SECOND));
    assert!(
        !miss_call(&mut machines, 13 * SECOND),
        "c was taken over but sent no message"
    );
    if let Some(worker) = machines.get_mut("b") {
        worker.apply_heartbeat(
            &heartbeat(1, 5, None),
            HeartbeatSource::Periodic,
            13 * SECOND,
        );
    }
    assert!(
        miss_call(&mut machines, 14 * SECOND),
        "b sent a message, and a missed another call"
    );
}

/// Guards against an isolated controller that declares machines dead before it detects its isolation.
/// This can happen if the heartbeat interval is as long as the time after which a machine is declared
/// dead.
#[test]
fn isolation_is_detected_before_machines_are_declared_dead() {
    const HEARTBEAT_INTERVAL: Micros = 5 * SECOND;
    const LOST_AFTER: Micros = 5 * SECOND;
    let partitioned_at = 100 * SECOND;
    let fleet = |unreachable: usize, now: Micros| -> BTreeMap<MachineId, WorkerState> {
        (0..100)
            .map(|number| {
                let mut worker = WorkerState::new(5, 0);
                // Half of the machines have replicas and are probed often; the others are in contact
                // only when they send a heartbeat.
                let last_contact_at = partitioned_at
                    - if number % 2 == 0 {
                        0
                    } else {
                        HEARTBEAT_INTERVAL * number / 100
                    };
                worker.heartbeat.last_contact_at = if (number as usize) < unreachable {
                    last_contact_at
                } else {
                    now
                };
                let call_failed_at = worker.heartbeat.last_contact_at
                    + if number % 2 == 0 {
                        SECOND
                    } else {
                        HEARTBEAT_INTERVAL * 5 / 4
                    };
                if (number as usize) < unreachable && call_failed_at < now {
                    worker.probes.last_failed_at = call_failed_at;
                }
                (format!("m-{number:03}").into(), worker)
            })
            .collect()
    };
    let now = partitioned_at + LOST_AFTER;
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

/// Guards against an attempt that is recorded as ended only because its worker is out of contact. The
/// lease must have expired, and the worker must be fenced by the owner's token.
#[test]
fn missing_contact_ends_attempts_only_after_lease_expiry() {
    let mut cluster = view(placed(1), false);
    put_machine_record(&mut cluster);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(
        &heartbeat(1, 4, Some(TaskStatus::Running)),
        HeartbeatSource::Periodic,
        1,
    );
    assert_eq!(ended_attempts(&cluster, &worker, 900 * SECOND), 0);
    worker.apply_heartbeat(
        &heartbeat(2, 5, Some(TaskStatus::Running)),
        HeartbeatSource::Periodic,
        2 * SECOND,
    );
    worker.heartbeat.last_answered_at = Some(3 * SECOND);
    assert_eq!(ended_attempts(&cluster, &worker, 21 * SECOND), 0);
    assert_eq!(ended_attempts(&cluster, &worker, 23 * SECOND), 1);
    // A late heartbeat does not overwrite the state from a newer one.
    worker.apply_heartbeat(
        &heartbeat(1, 4, None),
        HeartbeatSource::Periodic,
        24 * SECOND,
    );
    assert_eq!(worker.tasks.len(), 1);
}
