//! Unit tests of `workers/heartbeat_room.rs`, together with the commands of a message.

use super::super::tests::{heartbeat, put_machine_record, view};
use super::*;
use crate::jobs::model::{JobRecord, TaskBlock, TaskState};
use crate::membership::{LAYOUT_VERSION, LayoutVersion};
use crate::store::keys;
use crate::wire::cloud::MachineType;
use crate::wire::message_sizes::heartbeat_capacity;
use crate::wire::to_value;
use crate::wire::worker::{ExitReason, Heartbeat, ReportedTask, TaskStatus};
use crate::workers::{CommandChannel, HeartbeatSource, TokenFormat, commands};
use std::rc::Rc;

/// Tasks of the job `req-1`.
const TASK_COUNT: u32 = 5;
/// Attempts for which the heartbeat has room.
const ROOM: usize = 3;

/// Returns a machine type with a zone whose name leaves room for `ROOM` attempts in a heartbeat.
fn machine_type() -> MachineType {
    let with_zone = |bytes: usize| MachineType {
        name: "t".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        image_cache_gb: 30.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: None,
        boot_time_s: 15.0,
        zones: vec!["z".repeat(bytes)],
    };
    let room = ROOM as i64 * largest_attempt_bytes();
    with_zone((heartbeat_capacity(&with_zone(0)) - room) as usize)
}

/// Returns a cluster in which the first tasks of the job are done and the others are placed on the machine.
fn cluster(done: u32, layout_in_force: bool) -> ClusterState {
    let mut cluster = view(TaskState::Done, false);
    put_machine_record(&mut cluster);
    cluster.put(keys::MACHINE_TYPES, &to_value(&vec![machine_type()]), 4);
    let mut spec = (*Rc::clone(&cluster.jobs["req-1"].spec)).clone();
    spec.task_count = TASK_COUNT;
    // The size of an attempt is the largest one: its job saves checkpoints and has a long id.
    spec.checkpoint_interval = 1;
    let placed = |index| match index < done {
        true => TaskState::Done,
        false => TaskState::Placed(Placement {
            attempt: 1,
            machine: "m".into(),
            session: 1,
            stop_grace_period: None,
        }),
    };
    let block: Vec<TaskState> = (0..TASK_COUNT).map(placed).collect();
    let record = JobRecord(spec, TaskBlock::from(block));
    cluster.put(&keys::job(JOB), &to_value(&record), 5);
    if layout_in_force {
        let layout = LayoutVersion {
            layout_version: LAYOUT_VERSION,
        };
        cluster.put(keys::LAYOUT, &to_value(&layout), 6);
    }
    cluster
}

const JOB: &str = "req-00000000000000000001";

fn message(sequence: u64, token: u64, exited: std::ops::Range<u32>) -> Heartbeat {
    Heartbeat {
        tasks: exited
            .map(|index| ReportedTask {
                task: format!("{JOB}/{index}"),
                attempt: 1,
                status: TaskStatus::Exited,
                reason: Some(ExitReason::Done),
                saved: None,
            })
            .collect(),
        ..heartbeat(sequence, token, None)
    }
}

fn count_starts(batch: &[Command]) -> usize {
    let is_start = |command: &&Command| matches!(command, Command::Start { .. });
    batch.iter().filter(is_start).count()
}

fn count_forgets(batch: &[Command]) -> usize {
    let is_forget = |command: &&Command| matches!(command, Command::Forget { .. });
    batch.iter().filter(is_forget).count()
}

/// Guards against starts that are sent although the attempts on their way fill the heartbeat already.
#[test]
fn starts_beyond_the_room_of_the_heartbeat_are_withheld() {
    let placed = cluster(0, true);
    for channel in [CommandChannel::HeartbeatAnswer, CommandChannel::Direct] {
        let mut worker = WorkerState::new(5, 0);
        worker.apply_heartbeat(&message(1, 5, 0..0), HeartbeatSource::Periodic, 1);
        let first = commands(&placed, &"m".into(), &mut worker, channel);
        assert_eq!(count_starts(&first), ROOM);
        assert_eq!(
            worker.outstanding.withheld_starts,
            TASK_COUNT as usize - ROOM
        );
        assert!(worker.has_withheld_commands());
        if channel == CommandChannel::Direct {
            worker.record_direct_starts(&first);
        }
        // The same starts are sent again, and no others.
        let again = commands(
            &placed,
            &"m".into(),
            &mut worker,
            CommandChannel::HeartbeatAnswer,
        );
        assert_eq!(again, first);
    }
}

/// Guards against room that a start gets before the worker has forgotten the attempts that take it: the commands of a
/// message are executed in order.
#[test]
fn attempts_are_forgotten_before_others_take_their_room() {
    let ended = cluster(2, true);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&message(1, 5, 0..2), HeartbeatSource::Periodic, 1);
    let batch = commands(
        &ended,
        &"m".into(),
        &mut worker,
        CommandChannel::HeartbeatAnswer,
    );
    assert_eq!(
        (count_forgets(&batch[..2]), count_starts(&batch[2..])),
        (2, 3)
    );
}

/// A heartbeat that has no room may not be sent and has no answer, so attempts are forgotten directly. Guards against
/// an earlier message that starts an attempt again after that: its token is lower.
#[test]
fn direct_forget_goes_out_under_a_higher_token_than_every_earlier_message() {
    let placed = cluster(0, true);
    let ended = cluster(1, true);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&message(1, 5, 0..0), HeartbeatSource::Periodic, 1);
    commands(
        &placed,
        &"m".into(),
        &mut worker,
        CommandChannel::HeartbeatAnswer,
    );
    let answered_under = worker.token();
    worker.apply_heartbeat(&message(2, 5, 0..1), HeartbeatSource::CommandReply, 2);
    let batch = commands(&ended, &"m".into(), &mut worker, CommandChannel::Direct);
    assert_eq!(count_forgets(&batch), 1);
    assert!(worker.token() > answered_under);
    let forgotten_under = worker.token();
    let again = commands(&ended, &"m".into(), &mut worker, CommandChannel::Direct);
    assert_eq!(count_forgets(&again), 1);
    assert!(worker.token() > forgotten_under);
}

/// Controllers of earlier versions know terms alone: the token cannot be raised within a term.
#[test]
fn attempts_are_not_forgotten_directly_beside_earlier_versions() {
    let ended = cluster(1, false);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&message(1, 5, 0..1), HeartbeatSource::Periodic, 1);
    let batch = commands(&ended, &"m".into(), &mut worker, CommandChannel::Direct);
    assert_eq!(count_forgets(&batch), 0);
    assert_eq!(worker.token().to_wire(TokenFormat::Term), 5);
}

/// Guards against direct calls that forget attempts while the heartbeat has room: in the answer to a heartbeat that
/// needs no higher token.
#[test]
fn attempts_are_not_forgotten_directly_while_the_heartbeat_has_room() {
    let ended = cluster(TASK_COUNT - 2, true);
    let mut worker = WorkerState::new(5, 0);
    worker.apply_heartbeat(&message(1, 5, 0..1), HeartbeatSource::Periodic, 1);
    let token = worker.token();
    let batch = commands(&ended, &"m".into(), &mut worker, CommandChannel::Direct);
    assert_eq!((count_forgets(&batch), count_starts(&batch)), (0, 2));
    assert_eq!(worker.token(), token);
}
