//! What is accepted: nothing that lacks a field, is of another form, or can never run; and all that can.

mod common;

use common::SETTINGS;
use coppergw::jobs::model::{AdmissionError, validate};
use coppergw::settings::Settings;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::user::{Submission, id_in, valid_id};
use coppergw::wire::{decode, encode};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Settings with a team that is limited in CPUs and GPUs.
fn settings() -> Settings {
    let limits = "cpus_max = 4.0\ngpus_max = 2.0";
    let text = SETTINGS.replace("cpus_max = 4.0", limits);
    Settings::parse("s.toml", &text).expect("settings")
}

/// Two types: one with GPUs in zone a, one without in zones a and b.
fn types() -> BTreeMap<String, MachineType> {
    let gpu = common::machine_type("gpu", 24.0, 2.0);
    let mut cpu = common::machine_type("cpu", 16.0, 0.0);
    cpu.memory_gb = 64.0;
    cpu.zones = vec!["a".into(), "b".into()];
    [gpu, cpu].map(|t| (t.name.clone(), t)).into()
}

fn submission() -> Value {
    json!({"id": "req-000412", "jobclass": "train", "owner": "free", "shape": "group", "rank": "urgent", "shards": 4,
        "cores": 1.0, "accelerators": 1.0, "ram_gb": 4.0, "bundle": "img-07", "size_gb": 6.2, "rigs": ["gpu"],
        "yard": "a", "together": true, "scatter": false, "loaners": true, "expected_s": 240.0, "bookmark_s": 30.0,
        "flush_s": 4.0, "due_s": 900.0, "waits_on": []})
}

/// How a body is answered by what it says alone.
fn judge(body: &Value) -> u16 {
    let Ok(s) = decode::<Submission>(&encode(body)) else {
        return 400;
    };
    match validate(&s, &settings(), &types(), 1) {
        Ok(_) => 201,
        Err(AdmissionError::Malformed(_)) => 400,
        Err(AdmissionError::Impossible(_)) => 422,
    }
}

fn with(changes: &[(&str, Value)]) -> u16 {
    let mut body = submission();
    for (field, v) in changes {
        body[*field] = v.clone();
    }
    judge(&body)
}

/// Each field of a submission: whether it may be null or left out, and what is no value of it.
#[test]
fn every_field_is_looked_at() {
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
    assert_eq!(judge(&submission()), 201);
    let all = submission();
    let fields: Vec<&String> = all.as_object().expect("a map").keys().collect();
    assert_eq!(fields.len(), table.len(), "a row for each");
    for (field, optional, wrong) in table {
        let mut without = submission();
        without.as_object_mut().expect("a map").remove(field);
        let want = if optional { 201 } else { 400 };
        assert_eq!(judge(&without), want, "without {field}");
        assert_eq!(with(&[(field, Value::Null)]), want, "{field} null");
        for v in wrong {
            assert_eq!(with(&[(field, v.clone())]), 400, "{field} {v}");
        }
    }
    for body in [json!([]), json!("x"), json!(null), json!({})] {
        assert_eq!(judge(&body), 400);
    }
}

/// Not a number, or endless, cannot be written as JSON.
#[test]
fn no_amount_is_endless() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
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
            let mut s: ciborium::Value =
                ciborium::Value::serialized(&submission()).expect("a value");
            for (k, v) in s.as_map_mut().expect("a map") {
                if k.as_text() == Some(field) {
                    *v = bad.into();
                }
            }
            let s: Submission = decode(&encode(&s)).expect("a submission");
            let e = validate(&s, &settings(), &types(), 1);
            assert!(
                matches!(e, Err(AdmissionError::Malformed(_))),
                "{field} {bad}"
            );
        }
    }
}

/// What can never run: by type, zone, amounts that differ from what there is by a digit that is not kept, and team.
#[test]
fn what_can_never_run_is_told_so() {
    assert_eq!(with(&[("owner", json!("nobody"))]), 422);
    assert_eq!(with(&[("rigs", json!([]))]), 422);
    assert_eq!(with(&[("rigs", json!(["other"]))]), 422);
    assert_eq!(with(&[("rigs", json!(["other", "gpu"]))]), 201);
    assert_eq!(with(&[("yard", json!("c"))]), 422);
    assert_eq!(with(&[("yard", json!("b"))]), 422, "no GPUs there");
    assert_eq!(with(&[("yard", json!("b")), ("rigs", Value::Null)]), 422);
    let plain = [
        ("yard", json!("b")),
        ("rigs", Value::Null),
        ("accelerators", json!(0.0)),
    ];
    assert_eq!(with(&plain), 201);
    for (field, most) in [("cores", 24.0), ("accelerators", 2.0), ("ram_gb", 192.0)] {
        assert_eq!(with(&[(field, json!(most))]), 201, "{field}");
        assert_eq!(with(&[(field, json!(most + 0.0004))]), 422, "{field}");
    }
    // All of a gang, one task of an array.
    let capped = |shape, shards, cores| {
        let body = [
            ("owner", json!("capped")),
            ("shape", json!(shape)),
            ("shards", json!(shards)),
            ("cores", json!(cores)),
            ("accelerators", json!(0.0)),
        ];
        with(&body)
    };
    assert_eq!(capped("batch", 100, 4.0), 201);
    assert_eq!(capped("batch", 100, 4.0004), 422);
    assert_eq!(capped("group", 4, 1.0), 201);
    assert_eq!(capped("group", 4, 1.0004), 422);
    assert_eq!(capped("standing", 5, 1.0), 422);
    let gpus = [("owner", json!("capped")), ("shards", json!(3))];
    assert_eq!(with(&gpus), 422);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Around every bound: accepted if and only if one task fits a type that is allowed and there, and the team may.
    #[test]
    fn accepted_is_what_can_run(
        cores in prop_oneof![0.0..30.0f64, Just(16.0), Just(24.0)],
        gpus in 0u8..4,
        ram in prop_oneof![0.0..200.0f64, Just(64.0), Just(192.0)],
        rig in 0u8..4, yard in 0u8..4, shape in 0u8..3, shards in 1u32..6, capped in any::<bool>(),
    ) {
        let rigs = [json!(["gpu"]), json!(["cpu"]), Value::Null, json!(["none"])][rig as usize].clone();
        let zone = [json!("a"), json!("b"), Value::Null, json!("c")][yard as usize].clone();
        let shape = ["batch", "group", "standing"][shape as usize];
        let (gpus, n) = (f64::from(gpus), if shape == "batch" { 1.0 } else { f64::from(shards) });
        let fits = types().values().any(|t| {
            (rigs.is_null() || rigs[0] == json!(t.name))
                && (zone.is_null() || t.zones.iter().any(|y| zone == json!(y)))
                && cores <= t.cpus && gpus <= t.gpus && ram <= t.memory_gb
        });
        let may = !capped || (cores * n <= 4.0 && gpus * n <= 2.0);
        let got = with(&[
            ("owner", json!(if capped { "capped" } else { "free" })), ("shape", json!(shape)), ("shards", json!(shards)),
            ("cores", json!(cores)), ("accelerators", json!(gpus)), ("ram_gb", json!(ram)), ("rigs", rigs), ("yard", zone),
        ]);
        prop_assert_eq!(got, if fits && may { 201 } else { 422 });
    }

    /// A body that is no submission still says whose it is, if it says that: a job that was accepted under this id
    /// keeps its answer.
    #[test]
    fn a_body_that_is_none_still_names_its_job(n in any::<u32>(), lacking in 0usize..21) {
        let mut body = submission();
        body["id"] = json!(format!("req-{n}"));
        let field = body.as_object().expect("a map").keys().nth(lacking).expect("a field").clone();
        body.as_object_mut().expect("a map").remove(&field);
        let id = id_in(&encode(&body));
        prop_assert_eq!(id.is_some_and(|id| valid_id(&id)), field != "id");
    }
}
