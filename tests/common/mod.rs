//! What the tests share: a job, a machine type, limits and a state service of their own.
#![allow(dead_code)]

use coppergw::autoscaler::model::{Host, HostState};
use coppergw::jobs::commit::Limits;
use coppergw::jobs::model::{Load, Room, Spec};
use coppergw::store::cluster_state::{Index, View};
use coppergw::time::SECOND;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::{Change, Guard, Txn};
use coppergw::wire::to_value;
use coppergw::wire::user::{Rank, Shape};
use std::collections::BTreeMap;

/// Limits of the grown deployments, in the layout that every version reads.
pub const LIMITS: Limits = Limits {
    ops: 16,
    merge: 16,
    bytes: 48_000,
    value: 32_000,
    layout: false,
    packed: false,
    wall: 0,
};

/// A platform's settings: two teams, one with a limit.
pub const SETTINGS: &str = r#"
node_name = "a"
area = "z"
front = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
something_new = 7
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
zones = ["z"]
[[deployment.teams]]
name = "free"
[[deployment.teams]]
name = "capped"
cpus_max = 4.0
[deployment.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 48.0
[deployment.state]
rps = 200.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 6.0
list_lag_s = 6.0
[deployment.machine_limits]
max_connections = 2500
"#;

/// A job of one plain class; tests change what matters to them.
pub fn spec(kind: Shape, tasks: u32) -> Spec {
    Spec {
        class: "c".into(),
        team: "team".into(),
        kind,
        rank: Rank::Normal,
        tasks,
        room: Room {
            cpus: 1000,
            gpus: 0,
            memory: 1000,
        },
        image: "i".into(),
        image_size: 1,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate: 10 * SECOND,
        checkpoint: 0,
        save: 0,
        deadline: None,
        submitted: 1,
        cancelled: false,
        needs: Default::default(),
    }
}

/// An ordinary machine of a type that is up.
pub fn up(kind: &str) -> Host {
    Host {
        kind: kind.into(),
        zone: "a".into(),
        spot: false,
        addr: None,
        session: 1,
        state: HostState::Up,
        rented: 0,
    }
}

/// A machine type of one zone.
pub fn machine_type(sku: &str, cores: f64, gpus: f64) -> MachineType {
    MachineType {
        sku: sku.into(),
        cores,
        accelerators: gpus,
        ram_gb: 192.0,
        local_gb: 30.0,
        fetch_gb_per_s: 1.0,
        rate: 1.0 + gpus * 3.0,
        market_price: Some(0.4),
        ready_s: 15.0,
        yards: vec!["a".into()],
    }
}

/// A stand-in for the state service.
#[derive(Default)]
pub struct Store {
    pub rev: u64,
    pub keys: BTreeMap<String, (ciborium::Value, u64)>,
    pub log: Vec<(u64, String, Option<ciborium::Value>)>,
}

impl Store {
    pub fn apply(&mut self, t: &Txn) -> bool {
        for Guard { path, stamp } in &t.guards {
            if self.keys.get(path).map_or(0, |k| k.1) != *stamp {
                return false;
            }
        }
        self.rev += 1;
        for c in &t.then {
            let (key, v) = match c {
                Change::Put { put, v, .. } => (put, Some(v.clone())),
                Change::Delete { remove } => (remove, None),
            };
            let there = match &v {
                Some(v) => {
                    self.keys.insert(key.clone(), (v.clone(), self.rev));
                    true
                }
                None => self.keys.remove(key).is_some(),
            };
            if there {
                self.log.push((self.rev, key.clone(), v));
            }
        }
        true
    }

    pub fn put<T: serde::Serialize>(&mut self, key: String, v: &T) {
        self.apply(&Txn {
            guards: vec![],
            then: vec![Change::Put {
                put: key,
                v: to_value(v),
                permit: None,
            }],
        });
    }
}

/// The index as going through all jobs and machines gives it.
fn index_afresh(v: &View) -> Index {
    let mut out = Index::default();
    for (id, j) in &v.jobs {
        if j.waiting > 0 {
            out.waiting.insert(id.clone());
            if j.spec.kind == Shape::Service {
                out.services.insert(id.clone());
            }
        }
        if (j.cancelled() && j.placed == 0) || j.done == j.spec.tasks {
            out.over.insert(id.clone());
        }
        let r = &j.spec.room;
        if r.gpus > 0 {
            *out.gpu_rooms.entry(r.amounts()).or_default() += 1;
        }
        for _ in 0..j.placed {
            out.teams.entry(j.spec.team.clone()).or_default().give(r);
        }
    }
    out.teams.retain(|_, r| *r != Room::default());
    for (id, h) in &v.hosts {
        if matches!(h.state, HostState::Draining | HostState::Closing) {
            out.leaving.insert(id.clone());
        }
        if let Some(t) = v.types.get(&h.kind) {
            let mut free = Room::of(t);
            for (job, _) in v.tasks_on(id).into_iter().flat_map(|t| t.keys()) {
                free.take(&v.jobs[job].spec.room);
            }
            out.free.insert((free.cpus, id.clone()));
        }
    }
    out
}

/// What the view keeps for look-ups equals what going through all jobs and machines gives. A plan that
/// misses a machine or a job would leave it out without a word.
pub fn indexed(v: &View) {
    assert_eq!(*v.index(), index_afresh(v));
    for (host, tasks) in &v.on_host {
        let mut load = Load::default();
        for (job, _) in tasks.keys() {
            load.add(&v.jobs[job].spec);
        }
        assert_eq!(v.load(host), load, "{host}");
    }
}
