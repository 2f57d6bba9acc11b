//! Admission: submissions that lack a field, are malformed or can never run are rejected; all others are accepted.

mod common;

use common::SETTINGS;
use coppergw::jobs::model::{AdmissionError, validate};
use coppergw::settings::Settings;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::user::{Submission, is_valid_job_id, job_id_in_body};
use coppergw::wire::{decode, encode};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Settings in which the team `capped` has limits on CPUs and GPUs.
fn settings() -> Settings {
    let limits = "cpus_max = 4.0\ngpus_max = 2.0";
    let text = SETTINGS.replace("cpus_max = 4.0", limits);
    Settings::parse("s.toml", &text).expect("settings")
}

/// Two machine types: one with GPUs in zone `a`, and one without GPUs in zones `a` and `b`.
fn machine_types() -> BTreeMap<String, MachineType> {
    let gpu = common::machine_type("gpu", 24.0, 2.0);
    let mut cpu = common::machine_type("cpu", 16.0, 0.0);
    cpu.memory_gb = 64.0;
    cpu.zones = vec!["a".into(), "b".into()];
    [gpu, cpu]
        .map(|machine_type| (machine_type.name.clone(), machine_type))
        .into()
}

fn submission() -> Value {
    json!({"id": "req-000412", "jobclass": "train", "owner": "free", "shape": "group", "rank": "urgent", "shards": 4,
        "cores": 1.0, "accelerators": 1.0, "ram_gb": 4.0, "bundle": "img-07", "size_gb": 6.2, "rigs": ["gpu"],
        "yard": "a", "together": true, "scatter": false, "loaners": true, "expected_s": 240.0, "bookmark_s": 30.0,
        "flush_s": 4.0, "due_s": 900.0, "waits_on": []})
}

/// Response status of a request body whose job id was not accepted before.
fn status_of(body: &Value) -> u16 {
    let Ok(submission) = decode::<Submission>(&encode(body)) else {
        return 400;
    };
    match validate(&submission, &settings(), &machine_types(), 1) {
        Ok(_) => 201,
        Err(AdmissionError::Malformed(_)) => 400,
        Err(AdmissionError::Infeasible(_)) => 422,
    }
}

/// Response status of the submission with some fields changed.
fn status_with(changes: &[(&str, Value)]) -> u16 {
    let mut body = submission();
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    status_of(&body)
}

/// For each field of a submission: whether it may be null or missing, and malformed values of it.
#[expect(clippy::too_many_lines, reason = "a table with a row for each field")]
#[test]
fn every_field_is_validated() {
    let texts = || {
        vec![
            json!(7),
            json!(true),
            json!([]),
            json!(""),
            json!("x".repeat(2000)),
        ]
    };
    let flags = || vec![json!("yes"), json!(1), json!([])];
    let amounts = || {
        vec![
            json!("1"),
            json!(-0.001),
            json!(1e18),
            json!([]),
            json!(true),
        ]
    };
    let kinds = || vec![json!("other"), json!(1), json!("")];
    let table: Vec<(&str, bool, Vec<Value>)> = vec![
        (
            "id",
            false,
            vec![
                json!("job-1"),
                json!("req-"),
                json!("req-1x"),
                json!(412),
                json!("req-000000000000000000001"),
            ],
        ),
        ("jobclass", false, texts()),
        ("owner", false, texts()),
        ("shape", false, kinds()),
        ("rank", false, kinds()),
        (
            "shards",
            false,
            vec![
                json!(0),
                json!(-1),
                json!(100_001),
                json!(1.5),
                json!("4"),
                json!(1u64 << 40),
            ],
        ),
        ("cores", false, amounts()),
        ("accelerators", false, amounts()),
        ("ram_gb", false, amounts()),
        ("bundle", false, texts()),
        ("size_gb", false, amounts()),
        ("rigs", true, vec![json!("gpu"), json!([1]), json!({})]),
        ("yard", true, vec![json!(1), json!([])]),
        ("together", false, flags()),
        ("scatter", false, flags()),
        ("loaners", false, flags()),
        ("expected_s", false, amounts()),
        ("bookmark_s", false, amounts()),
        ("flush_s", false, amounts()),
        ("due_s", true, amounts()),
        (
            "waits_on",
            true,
            vec![json!("req-1"), json!([1]), json!({})],
        ),
    ];
    assert_eq!(status_of(&submission()), 201);
    let all = submission();
    let fields: Vec<&String> = all.as_object().expect("a map").keys().collect();
    assert_eq!(fields.len(), table.len(), "one table row for each field");
    for (field, optional, wrong) in table {
        let mut without = submission();
        without.as_object_mut().expect("a map").remove(field);
        let expected = if optional { 201 } else { 400 };
        assert_eq!(status_of(&without), expected, "without {field}");
        assert_eq!(
            status_with(&[(field, Value::Null)]),
            expected,
            "{field} null"
        );
        for value in wrong {
            assert_eq!(
                status_with(&[(field, value.clone())]),
                400,
                "{field} {value}"
            );
        }
    }
    for body in [json!([]), json!("x"), json!(null), json!({})] {
        assert_eq!(status_of(&body), 400);
    }
}

/// Infinite amounts and NaN are rejected: CBOR can encode them, unlike JSON.
#[test]
fn non_finite_amounts_are_rejected() {
    for amount in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        for field in [
            "cores",
            "accelerators",
            "ram_gb",
            "size_gb",
            "expected_s",
            "bookmark_s",
            "flush_s",
            "due_s",
        ] {
            let mut body: ciborium::Value =
                ciborium::Value::serialized(&submission()).expect("a value");
            for (key, value) in body.as_map_mut().expect("a map") {
                if key.as_text() == Some(field) {
                    *value = amount.into();
                }
            }
            let submission: Submission = decode(&encode(&body)).expect("a submission");
            let result = validate(&submission, &settings(), &machine_types(), 1);
            assert!(
                matches!(result, Err(AdmissionError::Malformed(_))),
                "{field} {amount}"
            );
        }
    }
}

/// Jobs that can never run because of the machine type, the zone, the team limit, or amounts that exceed a
/// machine by less than 0.001, the precision of stored amounts.
#[test]
fn jobs_that_can_never_run_are_rejected() {
    assert_eq!(status_with(&[("owner", json!("nobody"))]), 422);
    assert_eq!(status_with(&[("rigs", json!([]))]), 422);
    assert_eq!(status_with(&[("rigs", json!(["other"]))]), 422);
    assert_eq!(status_with(&[("rigs", json!(["other", "gpu"]))]), 201);
    assert_eq!(status_with(&[("yard", json!("c"))]), 422);
    assert_eq!(
        status_with(&[("yard", json!("b"))]),
        422,
        "no GPUs in zone b"
    );
    assert_eq!(
        status_with(&[("yard", json!("b")), ("rigs", Value::Null)]),
        422
    );
    let plain = [
        ("yard", json!("b")),
        ("rigs", Value::Null),
        ("accelerators", json!(0.0)),
    ];
    assert_eq!(status_with(&plain), 201);
    for (field, capacity) in [("cores", 24.0), ("accelerators", 2.0), ("ram_gb", 192.0)] {
        assert_eq!(status_with(&[(field, json!(capacity))]), 201, "{field}");
        assert_eq!(
            status_with(&[(field, json!(capacity + 0.0004))]),
            422,
            "{field}"
        );
    }
    // The team limit applies to all tasks of a gang or service together, but to a single task of an array.
    let capped = |kind, task_count, cpus| {
        let body = [
            ("owner", json!("capped")),
            ("shape", json!(kind)),
            ("shards", json!(task_count)),
            ("cores", json!(cpus)),
            ("accelerators", json!(0.0)),
        ];
        status_with(&body)
    };
    assert_eq!(capped("batch", 100, 4.0), 201);
    assert_eq!(capped("batch", 100, 4.0004), 422);
    assert_eq!(capped("group", 4, 1.0), 201);
    assert_eq!(capped("group", 4, 1.0004), 422);
    assert_eq!(capped("standing", 5, 1.0), 422);
    let gpus = [("owner", json!("capped")), ("shards", json!(3))];
    assert_eq!(status_with(&gpus), 422);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Values around each limit: a job is accepted if and only if one task fits an allowed machine type in an
    /// allowed zone and the job is within the team's limit.
    #[test]
    fn jobs_are_accepted_if_and_only_if_they_can_run(
        cpus in prop_oneof![0.0..30.0f64, Just(16.0), Just(24.0)],
        gpus in 0u8..4,
        memory_gb in prop_oneof![0.0..200.0f64, Just(64.0), Just(192.0)],
        type_case in 0u8..4, zone_case in 0u8..4, kind in 0u8..3, task_count in 1u32..6, capped in any::<bool>(),
    ) {
        let allowed_types = [json!(["gpu"]), json!(["cpu"]), Value::Null, json!(["none"])][type_case as usize].clone();
        let zone = [json!("a"), json!("b"), Value::Null, json!("c")][zone_case as usize].clone();
        let kind = ["batch", "group", "standing"][kind as usize];
        let gpus = f64::from(gpus);
        let counted_tasks = if kind == "batch" { 1.0 } else { f64::from(task_count) };
        let fits = machine_types().values().any(|machine_type| {
            (allowed_types.is_null() || allowed_types[0] == json!(machine_type.name))
                && (zone.is_null() || machine_type.zones.iter().any(|offered| zone == json!(offered)))
                && cpus <= machine_type.cpus && gpus <= machine_type.gpus && memory_gb <= machine_type.memory_gb
        });
        let within_limit = !capped || (cpus * counted_tasks <= 4.0 && gpus * counted_tasks <= 2.0);
        let status = status_with(&[
            ("owner", json!(if capped { "capped" } else { "free" })), ("shape", json!(kind)), ("shards", json!(task_count)),
            ("cores", json!(cpus)), ("accelerators", json!(gpus)), ("ram_gb", json!(memory_gb)),
            ("rigs", allowed_types), ("yard", zone),
        ]);
        prop_assert_eq!(status, if fits && within_limit { 201 } else { 422 });
    }

    /// The job id is read from a malformed submission, too: if the job was accepted before, the response is its
    /// state.
    #[test]
    fn job_id_is_read_from_malformed_submissions(number in any::<u32>(), missing in 0usize..21) {
        let mut body = submission();
        body["id"] = json!(format!("req-{number}"));
        let field = body.as_object().expect("a map").keys().nth(missing).expect("a field").clone();
        body.as_object_mut().expect("a map").remove(&field);
        let id = job_id_in_body(&encode(&body));
        prop_assert_eq!(id.is_some_and(|id| is_valid_job_id(&id)), field != "id");
    }
}
