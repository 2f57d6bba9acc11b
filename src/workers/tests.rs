//! Tests of `workers/mod.rs` that need its private parts.

use super::*;
use crate::jobs::model::{JobRecord, JobSpec, Resources, TaskBlock, TaskState};
use crate::store::keys;
use crate::wire::to_value;
use crate::wire::user::Priority;

fn view(slot: TaskState, cancelled: bool) -> ClusterState {
    let mut v = ClusterState::default();
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
    let job = JobRecord(spec, TaskBlock(vec![slot]));
    v.put(&keys::job("req-1"), &to_value(&job), 1);
    v
}

fn placed(attempt: u32) -> TaskState {
    TaskState::Placed(Placement {
        attempt,
        machine: "m".into(),
        session: 1,
        stop: None,
    })
}

fn report(tick: u64, token: u64, task: Option<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "m".into(),
        address: "10.0.0.1:1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        sequence: tick,
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

fn concluded(v: &ClusterState, m: &WorkerState, now: Micros) -> usize {
    let mut out = Vec::new();
    reconcile(v, &"m".into(), m, 18 * SECOND, now, &mut out);
    out.len()
}

fn machine(v: &mut ClusterState) {
    let h = crate::autoscaler::model::MachineRecord {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        address: None,
        session: 1,
        state: crate::autoscaler::model::MachineState::Up,
        rented_at: 0,
    };
    v.put(&keys::machine("m"), &to_value(&h), 3);
}

/// A direct start that nobody answered may run after a `clear`: no clear until it was answered.
#[test]
fn nothing_is_cleared_while_a_start_may_still_come() {
    let id: MachineId = "m".into();
    let v = view(placed(1), false);
    let mut m = WorkerState::new(5, 0);
    m.take(&report(1, 5, None), false, 1);
    let direct = commands(&v, &id, &mut m, false);
    assert!(matches!(direct.as_slice(), [Command::Start { .. }]));
    m.sent(&direct);
    m.take(&report(2, 5, Some(TaskStatus::Exited)), false, 2);
    let over = view(TaskState::Done, false);
    assert!(commands(&over, &id, &mut m, true).is_empty());
    assert!(
        m.blocked_by_unacknowledged_start(),
        "only a higher term helps"
    );
    m.answered_direct(&direct);
    assert!(matches!(
        commands(&over, &id, &mut m, true).as_slice(),
        [Command::Forget { .. }]
    ));
    // And never directly: it could overtake a start in the answer to a report.
    assert!(commands(&over, &id, &mut m, false).is_empty());
}

/// A start in the answer to a report is executed before the next report or never; the answer to
/// direct orders in between proves nothing, and neither does a report with another token.
#[test]
fn absence_is_proved_by_the_next_report_alone() {
    let id: MachineId = "m".into();
    let mut v = view(placed(1), false);
    machine(&mut v);
    let mut m = WorkerState::new(5, 0);
    m.take(&report(1, 4, None), false, 1);
    let mut gone = view(placed(1), true);
    machine(&mut gone);
    assert_eq!(concluded(&gone, &m, 2), 0, "an older owner may still act");
    m.take(&report(2, 5, None), false, 2);
    assert_eq!(commands(&v, &id, &mut m, true).len(), 1);
    assert_eq!(concluded(&gone, &m, 3), 0, "the answer is on its way");
    m.take(&report(3, 5, None), true, 3);
    assert_eq!(concluded(&gone, &m, 4), 0, "still on its way");
    m.take(&report(4, 5, None), false, 4);
    assert_eq!(concluded(&gone, &m, 5), 1);
    assert_eq!(concluded(&v, &m, 5), 0, "what should run is started again");
}

/// One machine is dead if it misses a call sent after another was heard; a controller that is cut
/// off misses all of them and must not give up any.
#[test]
fn a_cut_is_not_a_dead_machine() {
    let mut m = WorkerState::new(5, 0);
    m.take(&report(1, 5, None), false, SECOND);
    for s in 2..9 {
        m.miss(SECOND, s * SECOND);
    }
    assert!(!m.dead, "nobody else was heard either");
    assert!(!m.declared_dead(5 * SECOND, 10 * SECOND, false));
    assert!(!m.declared_dead(5 * SECOND, 30 * SECOND, true));
    assert!(
        m.declared_dead(5 * SECOND, 30 * SECOND, false),
        "not for ever"
    );
    m.miss(2 * SECOND + 1, 9 * SECOND);
    assert!(m.declared_dead(5 * SECOND, 9 * SECOND, true));
    m.take(&report(2, 5, None), false, 10 * SECOND);
    assert!(!m.dead);
    m.miss(10 * SECOND, 11 * SECOND);
    assert!(!m.dead, "one miss is not enough");
}

/// A machine of an owner that ended before it wrote that the machine is up: cut off as well, it shows
/// the new owner no token and has no address in its key, so nobody can call it.
#[test]
fn a_machine_with_tasks_is_given_up_although_its_key_says_that_it_boots() {
    let m = WorkerState::new(5, 100 * SECOND);
    let lost = |state, has, now| m.lost(state, has, (5 * SECOND, now, false));
    let late = 111 * SECOND;
    assert!(
        !lost(MachineState::Booting, false, late),
        "it may come up yet"
    );
    assert!(!lost(MachineState::Booting, true, 105 * SECOND));
    assert!(lost(MachineState::Booting, true, late));
    assert!(lost(MachineState::Up, false, late));
}

/// Two controllers that were refused by the state service, and a third that took the part of one of them:
/// its worker has to come to the third, and not to be sent back to the one that drove it before.
#[test]
fn a_worker_that_shows_a_newer_token_is_sent_to_nobody_older() {
    use crate::membership::{Member, Shard};
    let mut v = ClusterState::default();
    let m = Member::new_incarnation(None, 7, 2, 0);
    v.put(&keys::member("a"), &to_value(&m), 1);
    let shard = Shard {
        owner: "a".into(),
        lease: 7,
        term: 4,
    };
    v.put(&keys::shard(3), &to_value(&shard), 2);
    assert_eq!(sent_to(&v, "c", 3, 3), Some("a"));
    assert_eq!(sent_to(&v, "c", 3, 4), Some("a"));
    assert_eq!(sent_to(&v, "c", 3, 5), None);
    assert_eq!(sent_to(&v, "a", 3, 4), None, "not to itself");
    assert_eq!(sent_to(&v, "c", 2, 4), None);
    v.delete(&keys::member("a"), 3);
    assert_eq!(sent_to(&v, "c", 3, 4), None, "its lease ended");
}

/// Machines that were only taken over count for nothing when it is asked whether others are heard.
#[test]
fn a_machine_taken_over_has_said_nothing() {
    let mut all: BTreeMap<MachineId, WorkerState> = BTreeMap::new();
    all.insert("a".into(), WorkerState::new(5, 10 * SECOND));
    all.insert("b".into(), WorkerState::new(5, 11 * SECOND));
    let call = |all: &mut BTreeMap<MachineId, WorkerState>, now| {
        let others = newest_heartbeat(all);
        if let Some(m) = all.get_mut("a") {
            m.miss(others, now);
        }
        all["a"].declared_dead(5 * SECOND, now, false)
    };
    assert!(!call(&mut all, 11 * SECOND));
    all.insert("c".into(), WorkerState::new(5, 12 * SECOND));
    assert!(!call(&mut all, 13 * SECOND), "c was taken over, not heard");
    if let Some(m) = all.get_mut("b") {
        m.take(&report(1, 5, None), false, 13 * SECOND);
    }
    assert!(
        call(&mut all, 14 * SECOND),
        "b was heard, and a missed again"
    );
}

/// A controller that loses its workers knows that it is itself before it gives the first of them
/// up, also where reports are as far apart as the patience with a silent machine. It gave up 237
/// machines within nine seconds, and the cloud took them back with their replicas.
#[test]
fn a_controller_that_is_cut_off_knows_before_it_gives_machines_up() {
    const REPORT: Micros = 5 * SECOND;
    const LOST_AFTER: Micros = 5 * SECOND;
    let cut = 100 * SECOND;
    let fleet = |gone: usize, now: Micros| -> BTreeMap<MachineId, WorkerState> {
        (0..100)
            .map(|k| {
                let mut m = WorkerState::new(5, 0);
                // Half have replicas and are called often; others are heard when they report.
                let last = cut - if k % 2 == 0 { 0 } else { REPORT * k / 100 };
                m.heard = if (k as usize) < gone { last } else { now };
                let called = m.heard + if k % 2 == 0 { SECOND } else { REPORT * 5 / 4 };
                if (k as usize) < gone && called < now {
                    m.probe_failed = called;
                }
                (format!("m-{k:03}").into(), m)
            })
            .collect()
    };
    let now = cut + LOST_AFTER;
    assert!(isolated(&fleet(100, now), &|_| true, REPORT, now));
    assert!(!isolated(&fleet(30, now), &|_| true, REPORT, now));
    assert!(!isolated(&fleet(1, now), &|_| true, REPORT, now));
}

/// Silence proves nothing before the lease must be over, and only under our token.
#[test]
fn silence_alone_proves_nothing() {
    let mut v = view(placed(1), false);
    machine(&mut v);
    let mut m = WorkerState::new(5, 0);
    m.take(&report(1, 4, Some(TaskStatus::Running)), false, 1);
    assert_eq!(concluded(&v, &m, 900 * SECOND), 0);
    m.take(&report(2, 5, Some(TaskStatus::Running)), false, 2 * SECOND);
    m.answered = Some(3 * SECOND);
    assert_eq!(concluded(&v, &m, 21 * SECOND), 0);
    assert_eq!(concluded(&v, &m, 23 * SECOND), 1);
    // A late report changes nothing that a newer one said.
    m.take(&report(1, 4, None), false, 24 * SECOND);
    assert_eq!(m.tasks.len(), 1);
}
