//! Golden files: what goes over the wire and into the state service, byte for byte, as the code wrote it
//! before its types and fields were renamed. The files were made once from that code and are never made
//! anew: a difference means that the program no longer understands the version before.
//!
//! Of each type there is a file with every field set (`full`). Where fields may be missing there is one
//! without them (`sparse`), and what the code writes when it has read that one (`least`).
//! Apart from the names of types, Rust names stand in `settings_hold_every_field`, `transactions`,
//! `served_rows`, `unknown_words` and `keys_read_back` only.

mod common;

use ciborium::Value;
use common::{LIMITS, SETTINGS};
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use coppergw::fairness::service_levels::{ServiceLevelRow, ServiceLevels};
use coppergw::fairness::{Counts, PriorityBoosts};
use coppergw::jobs::commit::{TransactionLimits, accept_submission, cancel};
use coppergw::jobs::model::{
    FinishedJob, JobIdList, JobRecord, StoredBlock, StoredJobRecord, TaskBlock, validate,
};
use coppergw::membership::{Leader, Member, Shard, Version};
use coppergw::scheduling::pending_reason::PendingReason;
use coppergw::settings::{ObjectiveKind, Settings, StateLimits};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::peer::{
    CancellationDigest, ForwardedRequest, ForwardedResponse, PeerHeartbeat, pack, unpack,
};
use coppergw::wire::state::{
    Event, Item, Lease, LeaseRequest, Mutation, Revision, Transaction, WatchResponse,
};
use coppergw::wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, LeaderRedirect, ReportedTask, TaskStatus,
};
use coppergw::wire::{ErrorBody, cloud, decode, encode, from_value, peer, state, to_value};
use coppergw::wire::{user, worker};
use serde::{Serialize, de::DeserializeOwned};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The folder of golden files, and which of them were read.
#[derive(Default)]
struct Golden {
    read: RefCell<BTreeSet<PathBuf>>,
}

/// Which files there are of a type.
#[derive(Clone, Copy, PartialEq)]
enum Files {
    /// No field may be missing.
    Full,
    /// Some may.
    FullAndSparse,
}
use Files::{Full, FullAndSparse};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

impl Golden {
    /// The content of a file; without it the test fails.
    fn bytes(&self, name: &str) -> Vec<u8> {
        let path = folder().join(name);
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        self.read.borrow_mut().insert(path);
        bytes
    }

    fn text(&self, name: &str) -> String {
        String::from_utf8(self.bytes(name)).expect("text")
    }

    /// What was written must be what the file holds.
    fn same(&self, name: &str, written: &[u8]) {
        let golden = self.bytes(name);
        assert!(
            golden == written,
            "{name}: written otherwise\n golden: {}\nwritten: {}",
            readable(&golden),
            readable(written)
        );
    }

    /// Reads the files of a type and writes each again.
    fn round(&self, name: &str, ending: &str, files: Files, again: &dyn Fn(&[u8]) -> Vec<u8>) {
        let full = format!("{name}.full.{ending}");
        self.same(&full, &again(&self.bytes(&full)));
        if files == FullAndSparse {
            let least = format!("{name}.least.{ending}");
            let sparse = format!("{name}.sparse.{ending}");
            self.same(&least, &again(&self.bytes(&sparse)));
            self.same(&least, &again(&self.bytes(&least)));
        }
    }

    /// A type of the wire to users, workers, the cloud and the state service.
    fn wire<T: Serialize + DeserializeOwned>(&self, name: &str, files: Files) {
        let again = |bytes: &[u8]| match decode::<T>(bytes) {
            Ok(value) => encode(&value),
            Err(e) => panic!("{name}: cannot be read: {e}\n{}", readable(bytes)),
        };
        self.round(&format!("wire/{name}"), "cbor", files, &again);
    }

    /// A value in the state service.
    fn stored<T: Serialize + DeserializeOwned>(&self, name: &str, files: Files) {
        let again = |bytes: &[u8]| {
            let value: Value = decode(bytes).expect("CBOR");
            match from_value::<T>(&value) {
                Some(typed) => encode(&to_value(&typed)),
                None => panic!("{name}: cannot be read\n{}", readable(bytes)),
            }
        };
        self.round(&format!("state/{name}"), "cbor", files, &again);
    }

    /// A message between controllers.
    fn between<T: Serialize + DeserializeOwned>(&self, name: &str, files: Files) {
        let again = |bytes: &[u8]| match unpack::<T>(bytes) {
            Some(value) => pack(&value),
            None => panic!("{name}: cannot be read\n{}", readable(bytes)),
        };
        self.round(&format!("peer/{name}"), "msgpack", files, &again);
    }
}

/// Bytes as a failing test shows them.
fn readable(bytes: &[u8]) -> String {
    String::from_utf8(bytes.escape_ascii().collect()).expect("ASCII")
}

fn users(golden: &Golden) {
    golden.wire::<user::Submission>("submission", FullAndSparse);
    golden.wire::<Vec<user::JobKind>>("shapes", Full);
    golden.wire::<Vec<user::Priority>>("ranks", Full);
    golden.wire::<Vec<user::Status>>("job_statuses", Full);
    golden.wire::<user::JobAnswer>("job_answer", FullAndSparse);
    golden.wire::<ErrorBody>("refused", Full);
}

fn workers(golden: &Golden) {
    golden.wire::<Heartbeat>("report", FullAndSparse);
    golden.wire::<ReportedTask>("task_report", FullAndSparse);
    golden.wire::<Vec<TaskStatus>>("task_statuses", Full);
    golden.wire::<Vec<ExitReason>>("causes", FullAndSparse);
    golden.wire::<CommandBatch>("orders", FullAndSparse);
    golden.wire::<LeaderRedirect>("redirect", FullAndSparse);
}

fn clouds(golden: &Golden) {
    golden.wire::<cloud::MachineTypes>("machine_types", FullAndSparse);
    golden.wire::<cloud::ProvisionRequest>("rental", Full);
    golden.wire::<cloud::MachineNames>("machine_names", Full);
    golden.wire::<cloud::Page>("machine_list", FullAndSparse);
    golden.wire::<Vec<cloud::ListedStatus>>("machine_statuses", FullAndSparse);
}

fn state_service(golden: &Golden) {
    golden.wire::<state::Page>("state_page", FullAndSparse);
    golden.wire::<Item>("state_item", Full);
    golden.wire::<Revision>("state_revision", FullAndSparse);
    golden.wire::<Transaction>("state_transaction", FullAndSparse);
    golden.wire::<LeaseRequest>("state_lease_ask", Full);
    golden.wire::<Lease>("state_lease", Full);
    golden.wire::<WatchResponse>("state_log", FullAndSparse);
    golden.wire::<Event>("state_event_put", FullAndSparse);
}

fn controllers(golden: &Golden) {
    golden.between::<PeerHeartbeat>("hello", FullAndSparse);
    golden.between::<CancellationDigest>("word", FullAndSparse);
    golden.between::<ForwardedRequest>("forward", Full);
    golden.between::<ForwardedResponse>("forwarded", FullAndSparse);
}

fn values(golden: &Golden) {
    golden.stored::<JobRecord>("record", FullAndSparse);
    golden.stored::<StoredJobRecord>("record_plain", FullAndSparse);
    golden.stored::<StoredJobRecord>("record_packed", FullAndSparse);
    golden.stored::<StoredJobRecord>("record_split", Full);
    golden.stored::<TaskBlock>("block", Full);
    golden.stored::<StoredBlock>("block_plain", Full);
    golden.stored::<StoredBlock>("block_packed", FullAndSparse);
    golden.stored::<StoredBlock>("block_split", FullAndSparse);
    golden.stored::<JobIdList>("needs", FullAndSparse);
    golden.stored::<FinishedJob>("final", FullAndSparse);
    golden.stored::<MachineRecord>("host", FullAndSparse);
    golden.stored::<Vec<MachineState>>("host_states", Full);
    golden.stored::<ScaleOutRequest>("charter", FullAndSparse);
    golden.stored::<TerminationBatch>("leaving", FullAndSparse);
    golden.stored::<Counts>("counts", FullAndSparse);
    golden.stored::<PriorityBoosts>("raises", FullAndSparse);
    golden.stored::<ServiceLevels>("served", FullAndSparse);
    golden.stored::<String>("team", Full);
    golden.stored::<Vec<cloud::MachineType>>("types", FullAndSparse);
    golden.stored::<cloud::MachineType>("type", FullAndSparse);
    golden.stored::<Version>("version", Full);
    golden.stored::<Member>("member", FullAndSparse);
    golden.stored::<Leader>("leader", Full);
    golden.stored::<Shard>("part", Full);
}

/// What follows from a submission: which of its fields becomes which of the record, and under which keys.
fn transactions(golden: &Golden) {
    let submission: user::Submission =
        decode(&golden.bytes("wire/submission.full.cbor")).expect("submission");
    let offered: cloud::MachineTypes =
        decode(&golden.bytes("wire/machine_types.full.cbor")).expect("machine types");
    let types = offered
        .machine_types
        .into_iter()
        .map(|t| (t.name.clone(), t));
    let settings = Settings::parse("s.toml", SETTINGS).expect("settings");
    let accepted = validate(&submission, &settings, &types.collect(), 1_700_000_000);
    let accepted = accepted.unwrap_or_else(|_| panic!("refused"));
    let id = "req-000412";
    let plain = LIMITS;
    let packed = TransactionLimits {
        newer_layout: true,
        packed: true,
        ..LIMITS
    };
    for (form, limits) in [("plain", plain), ("packed", packed)] {
        let mut view = ClusterState::default();
        let written = accept_submission(&view, id, accepted.clone(), limits).expect("it fits");
        golden.same(
            &format!("transactions/accept_{form}.cbor"),
            &encode(&written),
        );
        for change in &written[0].mutations {
            if let Mutation::Put {
                key: put, value: v, ..
            } = change
            {
                view.put(put, v, 5);
            }
        }
        let written = cancel(&view, &id.into(), limits).expect("it is there");
        golden.same(
            &format!("transactions/withdraw_{form}.cbor"),
            &encode(&written),
        );
    }
}

/// What is only written: the answer about served shares, and the reasons why jobs wait.
fn served_rows(golden: &Golden) {
    let row = ServiceLevelRow {
        class: "train".into(),
        team: "free".into(),
        accepted: 9,
        started: 8,
        done: 7,
        waiting: 1,
        oldest_s: 12.5,
        overdue: 2,
    };
    golden.same("wire/served_rows.cbor", &encode(&vec![row]));
    let reasons = [
        PendingReason::Dependency,
        PendingReason::LastAttempt,
        PendingReason::Backoff,
        PendingReason::TeamLimit,
        PendingReason::NoCapacity,
        PendingReason::QueueOrder,
        PendingReason::ImageFetch,
    ];
    golden.same("wire/reasons.cbor", &encode(&reasons));
}

/// Each function that builds a key, and each key that has no parts.
fn key_names(golden: &Golden) {
    let mut names: Vec<String> = vec![
        keys::ALL.into(),
        keys::LAYOUT.into(),
        keys::LEADER.into(),
        keys::PRIORITY_BOOSTS.into(),
        keys::SERVICE_LEVELS.into(),
        keys::TYPES.into(),
        keys::job("req-000412"),
        keys::block("req-000412", 3),
        keys::block_part("req-000412", 3, 64, 2),
        keys::dependency_list("req-000412", 1),
        keys::machine_type("g8"),
        keys::machine_type("a type\twith spaces and more than forty characters"),
        keys::version("node-a"),
        keys::finished_job("req-000412"),
        keys::machine("m-000017"),
        keys::scale_out_request("c-node-a-1"),
        keys::termination_batch("l-node-a-1"),
        keys::counts("node-a"),
        keys::member("node-a"),
        keys::shard(11),
        keys::team("free"),
        keys::team("a team\nwith spaces and more than forty characters"),
    ];
    names.extend(keys::LOADED.iter().map(|prefix| format!("read {prefix}")));
    let listed = golden.text("keys.txt");
    assert_eq!(listed.lines().collect::<Vec<_>>(), names);
}

/// Each path of a request.
fn path_names(golden: &Golden) {
    let paths: Vec<String> = vec![
        peer::PEER_HEARTBEAT_PATH.into(),
        peer::FORWARD_PATH.into(),
        worker::HEARTBEAT_PATH.into(),
        worker::COMMANDS_PATH.into(),
        worker::STATUS_PATH.into(),
        cloud::TYPES.into(),
        cloud::MACHINES_PATH.into(),
        cloud::TERMINATE_PATH.into(),
        state::TRANSACTION_PATH.into(),
        state::LEASES_PATH.into(),
        state::key(keys::LEADER),
        state::list("c/job/", None),
        state::list("c/job/", Some("c/job/req-000412")),
        state::watch(keys::ALL, 120, 2500),
        state::renew(77),
    ];
    let listed = golden.text("paths.txt");
    assert_eq!(listed.lines().collect::<Vec<_>>(), paths);
}

/// A settings file with every field, and what each of them comes to.
#[expect(
    clippy::too_many_lines,
    reason = "a table with a line for each field of the settings"
)]
fn settings_hold_every_field(golden: &Golden) {
    let parsed = Settings::parse("settings.toml", &golden.text("settings.toml")).expect("settings");
    let address = |text: &str| -> std::net::SocketAddr { text.parse().expect("address") };
    assert_eq!(parsed.node, "node-a");
    assert_eq!(parsed.zone, "north-a");
    assert_eq!(parsed.listen, address("10.0.0.1:8080"));
    assert_eq!(parsed.peer_bind, address("10.0.0.1:8081"));
    let peers: Vec<_> = parsed.peers.iter().map(|s| (&*s.name, s.address)).collect();
    assert_eq!(
        peers,
        [
            ("node-b", address("10.0.0.2:8081")),
            ("node-c", address("10.0.0.3:8081"))
        ]
    );
    assert_eq!(parsed.cloud, address("10.0.1.1:9001"));
    assert_eq!(parsed.state, address("10.0.1.2:9002"));
    assert_eq!(parsed.zones, ["north-a", "north-b"]);
    assert_eq!(parsed.clock_skew, 250_500);
    let teams: Vec<_> = parsed
        .teams
        .iter()
        .map(|t| (&*t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max))
        .collect();
    assert_eq!(
        teams,
        [
            ("free", 0, 0, 0, 0),
            ("capped", 1_500, 40_250, 2_125, 8_750)
        ]
    );
    let aims: Vec<_> = parsed
        .objectives
        .iter()
        .map(|o| (o.kind, &*o.class, o.within, o.share, o.times))
        .collect();
    assert_eq!(
        aims,
        [
            (ObjectiveKind::Wait, "serve", 2_500_000, 0.95, 1_000),
            (ObjectiveKind::Finished, "train", 900_000_000, 0.9, 1_000),
            (ObjectiveKind::Deadline, "report", 0, 0.85, 1_250)
        ]
    );
    assert_eq!(parsed.heartbeat_interval, 3_100_000);
    assert_eq!(parsed.worker_lease, 18_200_000);
    assert_eq!(parsed.gang_wait, 40_300_000);
    assert_eq!(parsed.gang_peer, 5_400_000);
    assert_eq!(parsed.cancel_within, 48_500_000);
    let limits = StateLimits {
        rps: 200.5,
        write_rps: 40.25,
        max_value_bytes: 32_768,
        max_mutations: 16,
    };
    assert_eq!(parsed.state_limits, limits);
    let next = StateLimits {
        rps: 100.5,
        write_rps: 20.25,
        max_value_bytes: 2_048,
        max_mutations: 8,
    };
    assert_eq!(parsed.next_state_limits, Some(next));
    assert_eq!(parsed.cloud_rps, 6.5);
    assert_eq!(parsed.list_lag, 6_600_000);
    assert_eq!(parsed.max_connections, 2500);
    assert_eq!(parsed.core_share, 0.75);
    assert_eq!(parsed.memory_mb, 512.5);
}

/// All that a test of this file reads.
const ALL: [fn(&Golden); 11] = [
    users,
    workers,
    clouds,
    state_service,
    controllers,
    values,
    transactions,
    served_rows,
    key_names,
    path_names,
    settings_hold_every_field,
];

#[test]
fn wire_of_users_is_as_it_was() {
    users(&Golden::default());
}

#[test]
fn wire_of_workers_is_as_it_was() {
    workers(&Golden::default());
}

#[test]
fn wire_of_the_cloud_is_as_it_was() {
    clouds(&Golden::default());
}

#[test]
fn wire_of_the_state_service_is_as_it_was() {
    state_service(&Golden::default());
}

#[test]
fn messages_between_controllers_are_as_they_were() {
    controllers(&Golden::default());
}

#[test]
fn values_in_the_state_service_are_as_they_were() {
    values(&Golden::default());
}

#[test]
fn transactions_are_as_they_were() {
    transactions(&Golden::default());
}

#[test]
fn what_operators_look_at_is_as_it_was() {
    served_rows(&Golden::default());
}

#[test]
fn keys_are_named_as_they_were() {
    key_names(&Golden::default());
}

#[test]
fn paths_are_named_as_they_were() {
    path_names(&Golden::default());
}

#[test]
fn settings_are_read_as_they_were() {
    settings_hold_every_field(&Golden::default());
}

/// Words of a newer version are taken as the one that stands for all others.
#[test]
fn unknown_words() {
    let golden = Golden::default();
    let causes: Vec<ExitReason> = decode(&golden.bytes("wire/causes.sparse.cbor")).expect("causes");
    assert_eq!(causes, [ExitReason::Other]);
    let commands: CommandBatch = decode(&golden.bytes("wire/orders.full.cbor")).expect("orders");
    assert!(matches!(
        commands.commands[..],
        [
            Command::Start { .. },
            Command::Stop { .. },
            Command::Forget { .. }
        ]
    ));
}

/// The view reads each kind of key back, with its golden value.
#[test]
fn keys_read_back() {
    let golden = Golden::default();
    let mut view = ClusterState::default();
    let mut put = |key: String, value: &str| {
        let value: Value = decode(&golden.bytes(&format!("state/{value}.cbor"))).expect("CBOR");
        view.put(&key, &value, 5);
    };
    let id = "req-000412";
    // Keys of a job that is not known are named again from what was read of them.
    let shards = [
        (keys::block(id, 3), "block_plain.full"),
        (keys::block_part(id, 3, 64, 2), "block.full"),
        (keys::dependency_list(id, 1), "needs.full"),
    ];
    for (key, value) in shards.clone() {
        put(key, value);
    }
    put(keys::member("node-a"), "member.full");
    put(keys::LEADER.into(), "leader.full");
    put(keys::shard(11), "part.full");
    put(keys::version("node-a"), "version.full");
    put(keys::LAYOUT.into(), "version.full");
    put(keys::machine("m-000099"), "host.full");
    put(keys::scale_out_request("c-node-a-1"), "charter.full");
    put(keys::termination_batch("l-node-a-1"), "leaving.least");
    put(keys::counts("node-a"), "counts.full");
    put(keys::PRIORITY_BOOSTS.into(), "raises.full");
    put(keys::SERVICE_LEVELS.into(), "served.full");
    put(keys::TYPES.into(), "types.full");
    put(keys::machine_type("c4"), "type.least");
    put(keys::finished_job("req-000411"), "final.full");
    let orphaned_keys: BTreeSet<String> = view
        .orphaned_keys()
        .into_iter()
        .map(|(_, key)| key)
        .collect();
    assert_eq!(
        orphaned_keys,
        shards.into_iter().map(|(key, _)| key).collect()
    );
    assert!(view.members.contains_key("node-a") && view.versions.contains_key("node-a"));
    assert!(view.leader.is_some() && view.layout.is_some());
    assert!(view.shards.contains_key(&11) && view.machines.contains_key("m-000099"));
    assert!(
        view.scale_out_requests.contains_key("c-node-a-1")
            && view.termination_batches.contains_key("l-node-a-1")
    );
    assert!(
        view.counts.contains_key("node-a") && view.priority_boosts != PriorityBoosts::default()
    );
    assert!(
        view.service_levels != ServiceLevels::default()
            && view.finished_job("req-000411").is_some()
    );
    assert!(view.machine_types.contains_key("g8") && view.machine_types.contains_key("c4"));
    let record: Value = decode(&golden.bytes("state/record_packed.full.cbor")).expect("CBOR");
    view.put(&keys::job(id), &record, 6);
    assert!(view.jobs.contains_key(id));
}

/// How a platform builds and runs the program. Which commit is in production changes with each landing;
/// that it is said does not.
#[test]
fn deployment_is_described_as_it_was() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/service.toml");
    let text = std::fs::read_to_string(path).expect("deploy/service.toml");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert_eq!(lines[0], "build = \"cargo build --release\"");
    assert_eq!(lines[1], "run = \"target/release/coppergw --config\"");
    let commit = lines[2].strip_prefix("production = \"");
    let commit = commit.and_then(|rest| rest.strip_suffix('"'));
    let lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    assert!(
        commit.is_some_and(|commit| commit.len() == 40 && commit.bytes().all(lower_hex)),
        "{}",
        lines[2]
    );
}

/// No file lies there that no test reads.
#[test]
fn every_golden_file_is_read() {
    let golden = Golden::default();
    for check in ALL {
        check(&golden);
    }
    let mut there = BTreeSet::new();
    let mut folders = vec![folder()];
    while let Some(next) = folders.pop() {
        for entry in std::fs::read_dir(next).expect("folder") {
            let path = entry.expect("entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                there.insert(path);
            }
        }
    }
    assert_eq!(there, *golden.read.borrow());
}
