//! Golden files: the exact bytes of messages on the wire and of values in the state service, as written
//! before the types and fields were renamed. The files were generated once from that code and are never
//! regenerated: a difference means that the program is no longer compatible with the previous version.
//!
//! Each type has a file with every field set (`full`). A type with optional fields also has a file without
//! them (`sparse`) and the bytes that the code writes after it has read `sparse` (`least`).
//! Apart from type names, Rust names are used only in `check_settings`, `check_transactions`,
//! `check_service_levels_and_reasons`, `unknown_values_are_read_as_the_fallback` and
//! `keys_are_read_into_the_cluster_state`.

mod common;

use ciborium::Value;
use common::{LIMITS, SETTINGS};
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use coppergw::fairness::service_levels::{ServiceLevelRow, ServiceLevels};
use coppergw::fairness::{PriorityBoosts, TaskCounts};
use coppergw::jobs::commit::{TransactionLimits, accept_submission, cancel};
use coppergw::jobs::model::{
    FinishedJob, JobIdList, JobRecord, StoredBlock, StoredJobRecord, TaskBlock, validate,
};
use coppergw::membership::{LayoutVersion, Leader, Member, Shard};
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

/// Access to the golden files; records which of them were read.
#[derive(Default)]
struct GoldenFiles {
    read: RefCell<BTreeSet<PathBuf>>,
}

/// Golden files that exist for a type.
#[derive(Clone, Copy, PartialEq)]
enum FileSet {
    /// Every field is required.
    Full,
    /// Some fields are optional.
    FullAndSparse,
}
use FileSet::{Full, FullAndSparse};

fn golden_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

impl GoldenFiles {
    /// Returns the content of a file; panics if it cannot be read.
    fn bytes(&self, name: &str) -> Vec<u8> {
        let path = golden_directory().join(name);
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        self.read.borrow_mut().insert(path);
        bytes
    }

    fn text(&self, name: &str) -> String {
        String::from_utf8(self.bytes(name)).expect("text")
    }

    /// Asserts that the written bytes equal the content of the file.
    fn assert_same(&self, name: &str, written: &[u8]) {
        let golden = self.bytes(name);
        assert!(
            golden == written,
            "{name}: written bytes differ\n golden: {}\nwritten: {}",
            escaped(&golden),
            escaped(written)
        );
    }

    /// Decodes each file of a type, encodes the value again and compares the bytes.
    fn check_round_trip(
        &self,
        name: &str,
        ending: &str,
        files: FileSet,
        reencode: &dyn Fn(&[u8]) -> Vec<u8>,
    ) {
        let full = format!("{name}.full.{ending}");
        self.assert_same(&full, &reencode(&self.bytes(&full)));
        if files == FullAndSparse {
            let least = format!("{name}.least.{ending}");
            let sparse = format!("{name}.sparse.{ending}");
            self.assert_same(&least, &reencode(&self.bytes(&sparse)));
            self.assert_same(&least, &reencode(&self.bytes(&least)));
        }
    }

    /// Checks a type exchanged with users, workers, the cloud or the state service.
    fn check_wire<T: Serialize + DeserializeOwned>(&self, name: &str, files: FileSet) {
        let reencode = |bytes: &[u8]| match decode::<T>(bytes) {
            Ok(value) => encode(&value),
            Err(e) => panic!("{name}: cannot be read: {e}\n{}", escaped(bytes)),
        };
        self.check_round_trip(&format!("wire/{name}"), "cbor", files, &reencode);
    }

    /// Checks a type of value stored in the state service.
    fn check_stored<T: Serialize + DeserializeOwned>(&self, name: &str, files: FileSet) {
        let reencode = |bytes: &[u8]| {
            let value: Value = decode(bytes).expect("CBOR");
            match from_value::<T>(&value) {
                Some(typed) => encode(&to_value(&typed)),
                None => panic!("{name}: cannot be read\n{}", escaped(bytes)),
            }
        };
        self.check_round_trip(&format!("state/{name}"), "cbor", files, &reencode);
    }

    /// Checks a type of message between controllers.
    fn check_peer<T: Serialize + DeserializeOwned>(&self, name: &str, files: FileSet) {
        let reencode = |bytes: &[u8]| match unpack::<T>(bytes) {
            Some(value) => pack(&value),
            None => panic!("{name}: cannot be read\n{}", escaped(bytes)),
        };
        self.check_round_trip(&format!("peer/{name}"), "msgpack", files, &reencode);
    }
}

/// Returns the bytes with non-printable ones escaped, for failure messages.
fn escaped(bytes: &[u8]) -> String {
    String::from_utf8(bytes.escape_ascii().collect()).expect("ASCII")
}

fn check_user_messages(golden: &GoldenFiles) {
    golden.check_wire::<user::Submission>("submission", FullAndSparse);
    golden.check_wire::<Vec<user::JobKind>>("shapes", Full);
    golden.check_wire::<Vec<user::Priority>>("ranks", Full);
    golden.check_wire::<Vec<user::Status>>("job_statuses", Full);
    golden.check_wire::<user::JobAnswer>("job_answer", FullAndSparse);
    golden.check_wire::<ErrorBody>("refused", Full);
}

fn check_worker_messages(golden: &GoldenFiles) {
    golden.check_wire::<Heartbeat>("report", FullAndSparse);
    golden.check_wire::<ReportedTask>("task_report", FullAndSparse);
    golden.check_wire::<Vec<TaskStatus>>("task_statuses", Full);
    golden.check_wire::<Vec<ExitReason>>("causes", FullAndSparse);
    golden.check_wire::<CommandBatch>("orders", FullAndSparse);
    golden.check_wire::<LeaderRedirect>("redirect", FullAndSparse);
}

fn check_cloud_messages(golden: &GoldenFiles) {
    golden.check_wire::<cloud::MachineTypes>("machine_types", FullAndSparse);
    golden.check_wire::<cloud::ProvisionRequest>("rental", Full);
    golden.check_wire::<cloud::MachineNames>("machine_names", Full);
    golden.check_wire::<cloud::Page>("machine_list", FullAndSparse);
    golden.check_wire::<Vec<cloud::ListedStatus>>("machine_statuses", FullAndSparse);
}

fn check_state_service_messages(golden: &GoldenFiles) {
    golden.check_wire::<state::Page>("state_page", FullAndSparse);
    golden.check_wire::<Item>("state_item", Full);
    golden.check_wire::<Revision>("state_revision", FullAndSparse);
    golden.check_wire::<Transaction>("state_transaction", FullAndSparse);
    golden.check_wire::<LeaseRequest>("state_lease_ask", Full);
    golden.check_wire::<Lease>("state_lease", Full);
    golden.check_wire::<WatchResponse>("state_log", FullAndSparse);
    golden.check_wire::<Event>("state_event_put", FullAndSparse);
}

fn check_peer_messages(golden: &GoldenFiles) {
    golden.check_peer::<PeerHeartbeat>("hello", FullAndSparse);
    golden.check_peer::<CancellationDigest>("word", FullAndSparse);
    golden.check_peer::<ForwardedRequest>("forward", Full);
    golden.check_peer::<ForwardedResponse>("forwarded", FullAndSparse);
    golden.check_peer::<ForwardedResponse>("forwarded_settled", Full);
}

fn check_stored_values(golden: &GoldenFiles) {
    golden.check_stored::<JobRecord>("record", FullAndSparse);
    golden.check_stored::<StoredJobRecord>("record_plain", FullAndSparse);
    golden.check_stored::<StoredJobRecord>("record_packed", FullAndSparse);
    golden.check_stored::<StoredJobRecord>("record_split", Full);
    golden.check_stored::<TaskBlock>("block", Full);
    golden.check_stored::<StoredBlock>("block_plain", Full);
    golden.check_stored::<StoredBlock>("block_packed", FullAndSparse);
    golden.check_stored::<StoredBlock>("block_split", FullAndSparse);
    golden.check_stored::<JobIdList>("needs", FullAndSparse);
    golden.check_stored::<FinishedJob>("final", FullAndSparse);
    golden.check_stored::<MachineRecord>("host", FullAndSparse);
    golden.check_stored::<Vec<MachineState>>("host_states", Full);
    golden.check_stored::<ScaleOutRequest>("charter", FullAndSparse);
    golden.check_stored::<TerminationBatch>("leaving", FullAndSparse);
    golden.check_stored::<TaskCounts>("counts", FullAndSparse);
    golden.check_stored::<PriorityBoosts>("raises", FullAndSparse);
    golden.check_stored::<ServiceLevels>("served", FullAndSparse);
    golden.check_stored::<String>("team", Full);
    golden.check_stored::<Vec<cloud::MachineType>>("types", FullAndSparse);
    golden.check_stored::<cloud::MachineType>("type", FullAndSparse);
    golden.check_stored::<LayoutVersion>("version", Full);
    golden.check_stored::<Member>("member", FullAndSparse);
    golden.check_stored::<Leader>("leader", Full);
    golden.check_stored::<Shard>("part", Full);
}

/// Transactions that accept and cancel a submission: how its fields map to those of the record, and the keys written.
fn check_transactions(golden: &GoldenFiles) {
    let submission: user::Submission =
        decode(&golden.bytes("wire/submission.full.cbor")).expect("submission");
    let offered: cloud::MachineTypes =
        decode(&golden.bytes("wire/machine_types.full.cbor")).expect("machine types");
    let types = offered
        .machine_types
        .into_iter()
        .map(|machine_type| (machine_type.name.clone(), machine_type));
    let settings = Settings::parse("s.toml", SETTINGS).expect("settings");
    let accepted = validate(&submission, &settings, &types.collect(), 1_700_000_000);
    let accepted = accepted.unwrap_or_else(|_| panic!("refused"));
    let id = "req-000412";
    let plain = LIMITS;
    let packed = TransactionLimits {
        write_newer_layout: true,
        write_packed_blocks: true,
        ..LIMITS
    };
    for (form, limits) in [("plain", plain), ("packed", packed)] {
        let mut view = ClusterState::default();
        let written = accept_submission(&view, id, accepted.clone(), limits)
            .expect("the record fits the limits");
        golden.assert_same(
            &format!("transactions/accept_{form}.cbor"),
            &encode(&written),
        );
        for mutation in &written[0].mutations {
            if let Mutation::Put {
                key: written_key,
                value: written_value,
                ..
            } = mutation
            {
                view.put(written_key, written_value, 5);
            }
        }
        let written = cancel(&view, &id.into(), limits).expect("the job exists");
        golden.assert_same(
            &format!("transactions/withdraw_{form}.cbor"),
            &encode(&written),
        );
    }
}

/// Types that are only encoded: the response with service levels, and the reasons why jobs are pending.
fn check_service_levels_and_reasons(golden: &GoldenFiles) {
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
    golden.assert_same("wire/served_rows.cbor", &encode(&vec![row]));
    let reasons = [
        PendingReason::Dependency,
        PendingReason::LastAttempt,
        PendingReason::Backoff,
        PendingReason::TeamLimit,
        PendingReason::NoCapacity,
        PendingReason::QueueOrder,
        PendingReason::ImageFetch,
    ];
    golden.assert_same("wire/reasons.cbor", &encode(&reasons));
}

/// Result of each function that builds a key, and each constant key.
fn check_key_names(golden: &GoldenFiles) {
    let mut names: Vec<String> = vec![
        keys::ROOT_PREFIX.into(),
        keys::LAYOUT.into(),
        keys::LEADER.into(),
        keys::PRIORITY_BOOSTS.into(),
        keys::SERVICE_LEVELS.into(),
        keys::MACHINE_TYPES.into(),
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
    names.extend(
        keys::INITIAL_LOAD_PREFIXES
            .iter()
            .map(|prefix| format!("read {prefix}")),
    );
    let listed = golden.text("keys.txt");
    assert_eq!(listed.lines().collect::<Vec<_>>(), names);
}

/// Paths of all requests.
fn check_path_names(golden: &GoldenFiles) {
    let paths: Vec<String> = vec![
        peer::PEER_HEARTBEAT_PATH.into(),
        peer::FORWARD_PATH.into(),
        worker::HEARTBEAT_PATH.into(),
        worker::COMMANDS_PATH.into(),
        worker::STATUS_PATH.into(),
        cloud::MACHINE_TYPES_PATH.into(),
        cloud::MACHINES_PATH.into(),
        cloud::TERMINATE_PATH.into(),
        state::TRANSACTION_PATH.into(),
        state::LEASES_PATH.into(),
        state::key_path(keys::LEADER),
        state::list_path("c/job/", None),
        state::list_path("c/job/", Some("c/job/req-000412")),
        state::watch_path(keys::ROOT_PREFIX, 120, 2500),
        state::lease_renewal_path(77),
    ];
    let listed = golden.text("paths.txt");
    assert_eq!(listed.lines().collect::<Vec<_>>(), paths);
}

/// Parsed value of each field of a settings file that sets every field.
#[expect(
    clippy::too_many_lines,
    reason = "a table with a line for each field of the settings"
)]
fn check_settings(golden: &GoldenFiles) {
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
    let objectives: Vec<_> = parsed
        .objectives
        .iter()
        .map(|o| (o.kind, &*o.class, o.within, o.share, o.deadline_thousandths))
        .collect();
    assert_eq!(
        objectives,
        [
            (ObjectiveKind::Wait, "serve", 2_500_000, 0.95, 1_000),
            (ObjectiveKind::Finished, "train", 900_000_000, 0.9, 1_000),
            (ObjectiveKind::Deadline, "report", 0, 0.85, 1_250)
        ]
    );
    assert_eq!(parsed.heartbeat_interval, 3_100_000);
    assert_eq!(parsed.worker_lease, 18_200_000);
    assert_eq!(parsed.gang_wait_timeout, 40_300_000);
    assert_eq!(parsed.gang_loss_notice, 5_400_000);
    assert_eq!(parsed.cancel_within, 48_500_000);
    let limits = StateLimits {
        requests_per_s: 200.5,
        writes_per_s: 40.25,
        max_value_bytes: 32_768,
        max_mutations: 16,
    };
    assert_eq!(parsed.state_limits, limits);
    let next = StateLimits {
        requests_per_s: 100.5,
        writes_per_s: 20.25,
        max_value_bytes: 2_048,
        max_mutations: 8,
    };
    assert_eq!(parsed.next_state_limits, Some(next));
    assert_eq!(parsed.cloud_requests_per_s, 6.5);
    assert_eq!(parsed.list_lag, 6_600_000);
    assert_eq!(parsed.max_connections, 2500);
    assert_eq!(parsed.cpu_share, 0.75);
    assert_eq!(parsed.memory_mb, 512.5);
}

/// Checks that together read every golden file.
const ALL_CHECKS: [fn(&GoldenFiles); 11] = [
    check_user_messages,
    check_worker_messages,
    check_cloud_messages,
    check_state_service_messages,
    check_peer_messages,
    check_stored_values,
    check_transactions,
    check_service_levels_and_reasons,
    check_key_names,
    check_path_names,
    check_settings,
];

#[test]
fn user_messages_are_unchanged() {
    check_user_messages(&GoldenFiles::default());
}

#[test]
fn worker_messages_are_unchanged() {
    check_worker_messages(&GoldenFiles::default());
}

#[test]
fn cloud_messages_are_unchanged() {
    check_cloud_messages(&GoldenFiles::default());
}

#[test]
fn state_service_messages_are_unchanged() {
    check_state_service_messages(&GoldenFiles::default());
}

#[test]
fn peer_messages_are_unchanged() {
    check_peer_messages(&GoldenFiles::default());
}

#[test]
fn stored_values_are_unchanged() {
    check_stored_values(&GoldenFiles::default());
}

#[test]
fn transactions_are_unchanged() {
    check_transactions(&GoldenFiles::default());
}

#[test]
fn service_levels_and_pending_reasons_are_unchanged() {
    check_service_levels_and_reasons(&GoldenFiles::default());
}

#[test]
fn key_names_are_unchanged() {
    check_key_names(&GoldenFiles::default());
}

#[test]
fn request_paths_are_unchanged() {
    check_path_names(&GoldenFiles::default());
}

#[test]
fn settings_are_parsed_unchanged() {
    check_settings(&GoldenFiles::default());
}

/// Values that only a newer version defines are decoded as the fallback variant.
#[test]
fn unknown_values_are_read_as_the_fallback() {
    let golden = GoldenFiles::default();
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

/// The cluster state recognizes each kind of key, with its golden value.
#[test]
fn keys_are_read_into_the_cluster_state() {
    let golden = GoldenFiles::default();
    let mut view = ClusterState::default();
    let mut put = |key: String, value: &str| {
        let value: Value = decode(&golden.bytes(&format!("state/{value}.cbor"))).expect("CBOR");
        view.put(&key, &value, 5);
    };
    let id = "req-000412";
    // Keys that belong to an unknown job are rebuilt from their parsed parts.
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
    put(keys::MACHINE_TYPES.into(), "types.full");
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

/// Build and run commands in `deploy/service.toml`. The commit in production changes with each release, so
/// only its presence and form are checked.
#[test]
fn deployment_file_is_unchanged() {
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

/// Every file in the golden directory is read by a check.
#[test]
fn every_golden_file_is_read() {
    let golden = GoldenFiles::default();
    for check in ALL_CHECKS {
        check(&golden);
    }
    let mut found = BTreeSet::new();
    let mut directories = vec![golden_directory()];
    while let Some(next) = directories.pop() {
        for entry in std::fs::read_dir(next).expect("folder") {
            let path = entry.expect("entry").path();
            if path.is_dir() {
                directories.push(path);
            } else {
                found.insert(path);
            }
        }
    }
    assert_eq!(found, *golden.read.borrow());
}
