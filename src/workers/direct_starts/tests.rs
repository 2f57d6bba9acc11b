//! Tests of direct starts that a worker may still execute, late or once more.

use super::super::tests::{ended_attempts, heartbeat, placed, put_machine_record, view};
use super::*;
use crate::ids::MachineId;
use crate::jobs::model::TaskState;
use crate::membership::{LAYOUT_VERSION, LayoutVersion};
use crate::store::keys;
use crate::wire::to_value;
use crate::wire::worker::ReportedTask;
use crate::workers::{CommandChannel, HeartbeatSource, commands};

/// Puts the layout of this version into force.
fn put_layout(cluster: &mut ClusterState) {
    let layout = LayoutVersion {
        layout_version: LAYOUT_VERSION,
    };
    cluster.put(keys::LAYOUT, &to_value(&layout), 4);
}

/// Returns a worker of term 5 whose task was started by a direct call and has exited, and the commands of the call.
fn worker_with_exited_direct_start() -> (WorkerState, Vec<Command>) {
    let cluster = view(placed(1), false);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&heartbeat(1, 5, None), HeartbeatSource::Periodic, 1);
    let direct = commands(&cluster, &"m".into(), &mut worker, CommandChannel::Direct);
    assert!(matches!(direct.as_slice(), [Command::Start { .. }]));
    worker.record_direct_starts(&direct);
    let exited = heartbeat(2, 5, Some(TaskStatus::Exited));
    worker.apply_heartbeat(&exited, HeartbeatSource::Periodic, 2);
    (worker, direct)
}

/// `Forget` would let a late or repeated direct start run the attempt again.
#[test]
fn no_forget_while_the_worker_accepts_a_direct_start() {
    let id: MachineId = "m".into();
    let over = view(TaskState::Done, false);
    let (mut worker, direct) = worker_with_exited_direct_start();
    let answer =
        |worker: &mut WorkerState| commands(&over, &id, worker, CommandChannel::HeartbeatAnswer);
    assert!(answer(&mut worker).is_empty());
    assert!(
        worker.blocked_by_direct_start(),
        "only a higher token makes the start impossible"
    );
    worker.acknowledge_direct_commands(&direct);
    assert!(answer(&mut worker).is_empty(), "it may arrive once more");
    assert!(!worker.blocked_by_direct_start());
    assert_eq!(worker.token().to_wire(TokenFormat::Term), 5);
    let mut later_session = heartbeat(1, 5, None);
    later_session.session = 2;
    worker.apply_heartbeat(&later_session, HeartbeatSource::Periodic, 3);
    assert_eq!(worker.possible_direct_starts(), 0);
}

/// The answer with the `Forget` makes the worker refuse the direct start, whether it was answered or not.
#[test]
fn forget_carries_a_higher_token_than_the_direct_start() {
    let id: MachineId = "m".into();
    let mut over = view(TaskState::Done, false);
    put_layout(&mut over);
    for answered in [false, true] {
        let (mut worker, direct) = worker_with_exited_direct_start();
        if answered {
            worker.acknowledge_direct_commands(&direct);
        }
        let started_under = worker.token();
        let forgets = |batch: &[Command]| matches!(batch, [Command::Forget { .. }]);
        // `Forget` is not sent directly under this token: it could overtake a start in the answer to a heartbeat.
        assert!(commands(&over, &id, &mut worker, CommandChannel::Direct).is_empty());
        assert_eq!(worker.token(), started_under);
        let answer = commands(&over, &id, &mut worker, CommandChannel::HeartbeatAnswer);
        assert!(forgets(&answer));
        assert!(worker.token() > started_under && worker.fenced());
        let raised = worker.token();
        let repeated = commands(&over, &id, &mut worker, CommandChannel::HeartbeatAnswer);
        assert!(forgets(&repeated), "the first answer may be lost");
        assert_eq!(worker.token(), raised, "one raise is enough");
        assert_eq!(worker.possible_direct_starts(), 1);
        let token = raised.to_wire(TokenFormat::TermAndIncrements);
        worker.apply_heartbeat(&heartbeat(3, token, None), HeartbeatSource::Periodic, 3);
        assert_eq!(worker.possible_direct_starts(), 0);
    }
}

/// A task of a cancelled job whose direct start was lost or refused may start until the worker has shown a higher token.
#[test]
fn absence_counts_only_under_a_higher_token_than_the_direct_start() {
    let id: MachineId = "m".into();
    let mut cancelled = view(placed(1), true);
    put_machine_record(&mut cancelled);
    put_layout(&mut cancelled);
    for refused in [false, true] {
        let (mut worker, direct) = worker_with_exited_direct_start();
        if refused {
            worker.acknowledge_direct_commands(&direct);
        }
        worker.apply_heartbeat(&heartbeat(3, 5, None), HeartbeatSource::Periodic, 3);
        assert_eq!(ended_attempts(&cancelled, &worker, 3), 0);
        assert!(worker.has_withheld_commands());
        commands(
            &cancelled,
            &id,
            &mut worker,
            CommandChannel::HeartbeatAnswer,
        );
        let token = worker.token().to_wire(TokenFormat::TermAndIncrements);
        worker.apply_heartbeat(&heartbeat(4, 5, None), HeartbeatSource::Periodic, 4);
        assert_eq!(ended_attempts(&cancelled, &worker, 4), 0);
        worker.apply_heartbeat(&heartbeat(5, token, None), HeartbeatSource::Periodic, 5);
        assert_eq!(ended_attempts(&cancelled, &worker, 5), 1);
    }
}

/// Beside earlier versions, exited attempts stay until the term is raised; their number is bounded. If one of them takes
/// the room of a start, the term is raised at once.
#[test]
fn retained_attempts_block_a_machine_only_in_large_numbers_or_before_a_new_attempt() {
    let (mut worker, direct) = worker_with_exited_direct_start();
    worker.acknowledge_direct_commands(&direct);
    let mut placements = BTreeMap::new();
    assert!(!worker.blocked_by_retained_attempts(&placements));
    worker.outstanding.withheld_starts = 1;
    assert!(worker.blocked_by_retained_attempts(&placements));
    worker.outstanding.withheld_starts = 0;
    let TaskState::Placed(second) = placed(2) else {
        unreachable!()
    };
    placements.insert(("req-1".into(), 0), second);
    assert!(worker.blocked_by_retained_attempts(&placements));
    placements.clear();
    let mut exited = heartbeat(3, 5, Some(TaskStatus::Exited));
    let first = exited.tasks[0].clone();
    for index in 1..64 {
        let task = format!("req-1/{index}");
        worker.record_direct_starts(&[Command::Start {
            task: task.clone(),
            attempt: 1,
        }]);
        exited.tasks.push(ReportedTask {
            task,
            ..first.clone()
        });
        exited.sequence += 1;
        worker.apply_heartbeat(&exited, HeartbeatSource::Periodic, 3);
        assert_eq!(
            worker.blocked_by_retained_attempts(&placements),
            index == 63
        );
    }
}
