//! The platform's settings file.

use crate::time::{Micros, from_secs};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why settings or policy cannot be used. One line, for standard error.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Read {
        /// File.
        file: String,
        /// Reason.
        reason: String,
    },
    /// The file does not hold what it must.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// File.
        file: String,
        /// Field or place.
        field: String,
        /// Reason.
        reason: String,
    },
}

#[derive(Deserialize)]
struct Raw {
    node_name: String,
    #[serde(default)]
    area: String,
    #[serde(rename = "front")]
    listen: String,
    peer_bind: String,
    #[serde(default)]
    #[serde(rename = "siblings")]
    peers: Vec<RawPeer>,
    outside: RawOutside,
    deployment: RawDeployment,
}
#[derive(Deserialize)]
struct RawPeer {
    node_name: String,
    endpoint: String,
}
#[derive(Deserialize)]
struct RawOutside {
    cloud: String,
    state: String,
}
#[derive(Deserialize)]
struct RawDeployment {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    skew_ms: f64,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    machine_limits: RawLimits,
}
#[derive(Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}
#[derive(Deserialize)]
struct RawObjective {
    #[serde(default)]
    kind: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    within_s: f64,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    times: Option<f64>,
}
#[derive(Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}
#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: Option<RawNext>,
}
#[derive(Deserialize)]
struct RawNext {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}
#[derive(Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}
#[derive(Deserialize)]
struct RawLimits {
    #[serde(default)]
    core_share: f64,
    #[serde(default)]
    ram_mb: f64,
    max_connections: usize,
}

/// A peer controller.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for controllers.
    pub address: SocketAddr,
}

/// A team with guarantee and limit, in thousandths; a limit of 0 is none.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: i64,
    /// Limit of CPUs.
    pub cpus_max: i64,
    /// Guaranteed GPUs.
    pub gpus: i64,
    /// Limit of GPUs.
    pub gpus_max: i64,
}

impl Team {
    /// Whether the team has any limit.
    pub fn capped(&self) -> bool {
        self.cpus_max > 0 || self.gpus_max > 0
    }
}

/// What an aim is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time until a task starts.
    Wait,
    /// Time until a job is done.
    Finished,
    /// Done by this many times the deadline that its user set.
    Deadline,
}

/// An aim for a class of jobs.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What about.
    pub kind: ObjectiveKind,
    /// Class of jobs.
    pub class: String,
    /// Within this time.
    pub within: Micros,
    /// This share.
    pub share: f64,
    /// Multiple of the job's own deadline, in thousandths.
    pub times: u64,
}

/// Limits of the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Bytes of a value, counted as JSON.
    pub max_value_bytes: usize,
    /// Changes of a transaction.
    pub max_mutations: usize,
}

impl StateLimits {
    /// Conditions that a transaction may have.
    pub fn preconditions(&self) -> usize {
        self.max_mutations * 4
    }
}

/// Everything that the platform hands over.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Address for users and workers.
    pub listen: SocketAddr,
    /// Address for controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Cloud.
    pub cloud: SocketAddr,
    /// State service.
    pub state: SocketAddr,
    /// Zones.
    pub zones: Vec<String>,
    /// How far the time of day may be off.
    pub clock_skew: Micros,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims.
    pub objectives: Vec<Objective>,
    /// Interval of reports.
    pub heartbeat_interval: Micros,
    /// Workers' lease.
    pub worker_lease: Micros,
    /// How long a gang waits to be complete.
    pub gang_wait: Micros,
    /// How fast a gang notices a lost task.
    pub gang_peer: Micros,
    /// Time for a cancellation.
    pub cancel_within: Micros,
    /// Limits of the state service as they are.
    pub state_limits: StateLimits,
    /// The lower of these and of those that are announced; none are announced if this is not set.
    pub next_state_limits: Option<StateLimits>,
    /// Cloud requests per second.
    pub cloud_rps: f64,
    /// Lag of the machine list.
    pub list_lag: Micros,
    /// Sockets.
    pub max_connections: usize,
    /// Share of a core.
    pub core_share: f64,
    /// Memory.
    pub memory_mb: f64,
}

/// CPUs, GPUs and gigabytes are counted in thousandths.
pub fn milli(v: f64) -> i64 {
    (v * 1000.0).round() as i64
}

/// The smallest values and transactions with which this program can work.
const LEAST_VALUE_KB: f64 = 1.0;
const LEAST_OPS: usize = 4;

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read {
            file: file.clone(),
            reason: e.to_string(),
        })?;
        Settings::parse(&file, &text)
    }

    /// Checks the text of a settings file.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let fail = |field: &str, reason: String| SettingsError::Field {
            file: file.into(),
            field: field.into(),
            reason,
        };
        let raw: Raw = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            let field = line
                .and_then(|l| text.lines().nth(l - 1))
                .and_then(|l| l.split_once('='))
                .map(|(k, _)| k.trim().to_string());
            let place = match (field, line) {
                (Some(f), Some(l)) => format!("{f} (line {l})"),
                (None, Some(l)) => format!("line {l}"),
                _ => "settings".into(),
            };
            fail(&place, e.message().replace('\n', " "))
        })?;
        let addr = |field: &str, v: &str| -> Result<SocketAddr, SettingsError> {
            v.parse()
                .map_err(|_| fail(field, format!("'{v}' is not an address like 10.0.0.1:8080")))
        };
        let positive = |field: &str, v: f64| -> Result<Micros, SettingsError> {
            if v.is_finite() && v > 0.0 {
                Ok(from_secs(v))
            } else {
                Err(fail(field, format!("{v} is not a positive number")))
            }
        };
        let d = raw.deployment;
        for (name, v) in [
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
        ] {
            positive(name, v)?;
        }
        if d.state.txn_ops == 0 {
            return Err(fail("deployment.state.txn_ops", "0 is too few".into()));
        }
        let limits = StateLimits {
            rps: d.state.rps,
            write_rps: d.state.write_rps,
            max_value_bytes: (d.state.value_kb * 1024.0) as usize,
            max_mutations: d.state.txn_ops,
        };
        let next = match &d.state.next {
            None => None,
            Some(n) => {
                for (name, v) in [("rps", n.rps), ("write_rps", n.write_rps)] {
                    if let Some(v) = v {
                        positive(&format!("deployment.state.next.{name}"), v)?;
                    }
                }
                // A job's record and a transaction that splits one must be possible at all.
                if n.value_kb
                    .is_some_and(|v| !v.is_finite() || v < LEAST_VALUE_KB)
                {
                    return Err(fail(
                        "deployment.state.next.value_kb",
                        format!("less than {LEAST_VALUE_KB}"),
                    ));
                }
                if n.txn_ops.is_some_and(|v| v < LEAST_OPS) {
                    return Err(fail(
                        "deployment.state.next.txn_ops",
                        format!("fewer than {LEAST_OPS}"),
                    ));
                }
                Some(StateLimits {
                    rps: n.rps.unwrap_or(limits.rps).min(limits.rps),
                    write_rps: n
                        .write_rps
                        .unwrap_or(limits.write_rps)
                        .min(limits.write_rps),
                    max_value_bytes: n
                        .value_kb
                        .map_or(limits.max_value_bytes, |v| (v * 1024.0) as usize)
                        .min(limits.max_value_bytes),
                    max_mutations: n
                        .txn_ops
                        .unwrap_or(limits.max_mutations)
                        .min(limits.max_mutations),
                })
            }
        };
        if d.machine_limits.max_connections < 16 {
            return Err(fail(
                "deployment.machine_limits.max_connections",
                "fewer than 16".into(),
            ));
        }
        let mut peers = Vec::new();
        for s in &raw.peers {
            peers.push(Peer {
                name: s.node_name.clone(),
                address: addr("siblings.endpoint", &s.endpoint)?,
            });
        }
        Ok(Settings {
            node: raw.node_name,
            zone: raw.area,
            listen: addr("front", &raw.listen)?,
            peer_bind: addr("peer_bind", &raw.peer_bind)?,
            peers,
            cloud: addr("outside.cloud", &raw.outside.cloud)?,
            state: addr("outside.state", &raw.outside.state)?,
            zones: d.zones,
            clock_skew: from_secs(d.skew_ms / 1000.0),
            teams: d
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: milli(t.cpus),
                    cpus_max: milli(t.cpus_max),
                    gpus: milli(t.gpus),
                    gpus_max: milli(t.gpus_max),
                })
                .collect(),
            objectives: d
                .objectives
                .iter()
                .filter_map(|o| {
                    Some(Objective {
                        kind: match o.kind.as_str() {
                            "wait" => ObjectiveKind::Wait,
                            "finished" => ObjectiveKind::Finished,
                            "deadline" => ObjectiveKind::Deadline,
                            _ => return None,
                        },
                        class: o.class.clone(),
                        within: from_secs(o.within_s),
                        share: o.share,
                        times: (o.times.filter(|t| t.is_finite()).unwrap_or(1.0).max(0.0) * 1000.0)
                            as u64,
                    })
                })
                .collect(),
            heartbeat_interval: positive("deployment.workers.report_s", d.workers.report_s)?,
            worker_lease: positive("deployment.workers.lease_s", d.workers.lease_s)?,
            gang_wait: positive("deployment.workers.gang_wait_s", d.workers.gang_wait_s)?,
            gang_peer: positive("deployment.workers.gang_peer_s", d.workers.gang_peer_s)?,
            cancel_within: positive("deployment.workers.cancel_s", d.workers.cancel_s)?,
            state_limits: limits,
            next_state_limits: next,
            cloud_rps: d.cloud.rps,
            list_lag: from_secs(d.cloud.list_lag_s),
            max_connections: d.machine_limits.max_connections,
            core_share: d.machine_limits.core_share,
            memory_mb: d.machine_limits.ram_mb,
        })
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
