//! Validation of the settings file: converts its sections to [`Settings`], or reports the invalid field.

use super::file::{
    FileDeployment, FileMachineLimits, FileNextState, FileObjective, FilePeer, FileState, FileTeam,
    SettingsFile,
};
use super::{
    Objective, ObjectiveKind, Peer, Settings, SettingsError, StateLimits, Team, to_thousandths,
};
use crate::time::{Micros, from_secs};
use std::net::SocketAddr;

/// Minimum limit of the value size, in kilobytes: a job record doesn't fit into a smaller value.
const MIN_VALUE_KB: f64 = 1.0;
/// Minimum limit of mutations: a transaction that splits a job record needs this number.
const MIN_MUTATIONS: usize = 4;
/// Minimum number of sockets: a controller needs these to serve requests and to make its own calls.
const MIN_CONNECTIONS: usize = 16;

/// Checks of single fields. Errors contain the name of the file.
struct Checker<'a> {
    file: &'a str,
}

/// Converts a decoded file to settings. `file` is its name in errors.
pub(super) fn settings(file: &str, decoded: SettingsFile) -> Result<Settings, SettingsError> {
    let checker = Checker { file };
    let deployment = decoded.deployment;
    checker.rates(&deployment)?;
    let state_limits = checker.state_limits(&deployment.state)?;
    let next = deployment.state.next.as_ref();
    let next_state_limits = next
        .map(|next| checker.next_state_limits(next, state_limits))
        .transpose()?;
    let machine_limits = deployment.machine_limits;
    checker.machine_limits(&machine_limits)?;
    let peers = checker.peers(decoded.peers)?;
    let outside = decoded.outside;
    let workers = deployment.workers;
    let worker_time = |field: &str, seconds: f64| {
        checker.positive_seconds(&format!("deployment.workers.{field}"), seconds)
    };
    Ok(Settings {
        node: decoded.node_name,
        zone: decoded.zone,
        listen: checker.address("front", &decoded.listen)?,
        peer_bind: checker.address("peer_bind", &decoded.peer_bind)?,
        peers,
        cloud: checker.address("outside.cloud", &outside.cloud)?,
        state: checker.address("outside.state", &outside.state)?,
        zones: deployment.zones,
        clock_skew: from_secs(deployment.clock_skew_ms / 1000.0),
        teams: deployment.teams.into_iter().map(team).collect(),
        objectives: deployment
            .objectives
            .into_iter()
            .filter_map(objective)
            .collect(),
        heartbeat_interval: worker_time("report_s", workers.heartbeat_interval_s)?,
        worker_lease: worker_time("lease_s", workers.lease_s)?,
        gang_wait_timeout: worker_time("gang_wait_s", workers.gang_wait_s)?,
        gang_loss_notice: worker_time("gang_peer_s", workers.gang_loss_notice_s)?,
        cancel_within: worker_time("cancel_s", workers.cancel_within_s)?,
        state_limits,
        next_state_limits,
        cloud_requests_per_s: deployment.cloud.requests_per_s,
        list_lag: from_secs(deployment.cloud.list_lag_s),
        max_connections: machine_limits.max_connections,
        cpu_share: machine_limits.cpu_share,
        memory_mb: machine_limits.memory_mb,
    })
}

impl Checker<'_> {
    fn error(&self, field: &str, reason: String) -> SettingsError {
        SettingsError::Field {
            file: self.file.into(),
            field: field.into(),
            reason,
        }
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse().map_err(|_| {
            let reason = format!("'{text}' is not an address like 10.0.0.1:8080");
            self.error(field, reason)
        })
    }

    fn positive(&self, field: &str, number: f64) -> Result<f64, SettingsError> {
        if number.is_finite() && number > 0.0 {
            Ok(number)
        } else {
            Err(self.error(field, format!("{number} is not a positive number")))
        }
    }

    fn positive_seconds(&self, field: &str, seconds: f64) -> Result<Micros, SettingsError> {
        self.positive(field, seconds).map(from_secs)
    }

    /// Checks that rates and sizes are positive, because other code divides by them.
    fn rates(&self, deployment: &FileDeployment) -> Result<(), SettingsError> {
        let state = &deployment.state;
        for (field, number) in [
            ("deployment.state.rps", state.requests_per_s),
            ("deployment.state.write_rps", state.writes_per_s),
            ("deployment.state.value_kb", state.max_value_kb),
            ("deployment.cloud.rps", deployment.cloud.requests_per_s),
        ] {
            self.positive(field, number)?;
        }
        Ok(())
    }

    fn machine_limits(&self, limits: &FileMachineLimits) -> Result<(), SettingsError> {
        if limits.max_connections < MIN_CONNECTIONS {
            let reason = format!("fewer than {MIN_CONNECTIONS}");
            return Err(self.error("deployment.machine_limits.max_connections", reason));
        }
        Ok(())
    }

    fn peers(&self, peers: Vec<FilePeer>) -> Result<Vec<Peer>, SettingsError> {
        let checked = peers.into_iter().map(|peer| {
            let address = self.address("siblings.endpoint", &peer.address)?;
            Ok(Peer {
                name: peer.node_name,
                address,
            })
        });
        checked.collect()
    }

    /// Converts the current limits of the state service.
    fn state_limits(&self, state: &FileState) -> Result<StateLimits, SettingsError> {
        if state.max_mutations == 0 {
            return Err(self.error("deployment.state.txn_ops", "0 is too few".into()));
        }
        Ok(StateLimits {
            requests_per_s: state.requests_per_s,
            writes_per_s: state.writes_per_s,
            max_value_bytes: kilobytes_to_bytes(state.max_value_kb),
            max_mutations: state.max_mutations,
        })
    }

    /// Returns, for each limit, the lower of the announced and the current one. The announced limits must allow a job
    /// record and a transaction that splits one.
    fn next_state_limits(
        &self,
        next: &FileNextState,
        current: StateLimits,
    ) -> Result<StateLimits, SettingsError> {
        for (field, rate) in [
            ("rps", next.requests_per_s),
            ("write_rps", next.writes_per_s),
        ] {
            if let Some(rate) = rate {
                self.positive(&format!("deployment.state.next.{field}"), rate)?;
            }
        }
        let too_small = |size: f64| !size.is_finite() || size < MIN_VALUE_KB;
        if next.max_value_kb.is_some_and(too_small) {
            let reason = format!("less than {MIN_VALUE_KB}");
            return Err(self.error("deployment.state.next.value_kb", reason));
        }
        if next
            .max_mutations
            .is_some_and(|count| count < MIN_MUTATIONS)
        {
            let reason = format!("fewer than {MIN_MUTATIONS}");
            return Err(self.error("deployment.state.next.txn_ops", reason));
        }
        let lower = |next: Option<f64>, current: f64| next.unwrap_or(current).min(current);
        Ok(StateLimits {
            requests_per_s: lower(next.requests_per_s, current.requests_per_s),
            writes_per_s: lower(next.writes_per_s, current.writes_per_s),
            max_value_bytes: next
                .max_value_kb
                .map_or(current.max_value_bytes, kilobytes_to_bytes)
                .min(current.max_value_bytes),
            max_mutations: next
                .max_mutations
                .unwrap_or(current.max_mutations)
                .min(current.max_mutations),
        })
    }
}

fn kilobytes_to_bytes(size: f64) -> usize {
    (size * 1024.0) as usize
}

fn team(team: FileTeam) -> Team {
    Team {
        name: team.name,
        cpus: to_thousandths(team.cpus),
        cpus_max: to_thousandths(team.cpus_max),
        gpus: to_thousandths(team.gpus),
        gpus_max: to_thousandths(team.gpus_max),
    }
}

/// Converts an objective; `None` for a kind that this version does not support.
fn objective(objective: FileObjective) -> Option<Objective> {
    let kind = match objective.kind.as_str() {
        "wait" => ObjectiveKind::Wait,
        "finished" => ObjectiveKind::Finished,
        "deadline" => ObjectiveKind::Deadline,
        _ => return None,
    };
    let times = objective.times.filter(|times| times.is_finite());
    Some(Objective {
        kind,
        class: objective.class,
        within: from_secs(objective.within_s),
        share: objective.share,
        deadline_thousandths: (times.unwrap_or(1.0).max(0.0) * 1000.0) as u64,
    })
}
