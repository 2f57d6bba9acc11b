//! Format of the settings file: TOML with the platform's field names, each mapped once to a standard term.

use super::SettingsError;
use serde::Deserialize;

/// Root of the settings file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    pub(super) node_name: String,
    #[serde(default)]
    #[serde(rename = "area")]
    pub(super) zone: String,
    #[serde(rename = "front")]
    pub(super) listen: String,
    pub(super) peer_bind: String,
    #[serde(default)]
    #[serde(rename = "siblings")]
    pub(super) peers: Vec<FilePeer>,
    pub(super) outside: FileOutside,
    pub(super) deployment: FileDeployment,
}

/// `[[siblings]]`: another controller.
#[derive(Deserialize)]
pub(super) struct FilePeer {
    pub(super) node_name: String,
    #[serde(rename = "endpoint")]
    pub(super) address: String,
}

/// `[outside]`: addresses of the external services that a controller uses.
#[derive(Deserialize)]
pub(super) struct FileOutside {
    pub(super) cloud: String,
    pub(super) state: String,
}

/// `[deployment]`: settings that are the same for all controllers.
#[derive(Deserialize)]
pub(super) struct FileDeployment {
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(default)]
    #[serde(rename = "skew_ms")]
    pub(super) clock_skew_ms: f64,
    #[serde(default)]
    pub(super) teams: Vec<FileTeam>,
    #[serde(default)]
    pub(super) objectives: Vec<FileObjective>,
    pub(super) workers: FileWorkers,
    pub(super) state: FileState,
    pub(super) cloud: FileCloud,
    pub(super) machine_limits: FileMachineLimits,
}

/// `[[deployment.teams]]`: quota of a team, in CPUs and GPUs.
#[derive(Deserialize)]
pub(super) struct FileTeam {
    pub(super) name: String,
    #[serde(default)]
    pub(super) cpus: f64,
    #[serde(default)]
    pub(super) cpus_max: f64,
    #[serde(default)]
    pub(super) gpus: f64,
    #[serde(default)]
    pub(super) gpus_max: f64,
}

/// `[[deployment.objectives]]`: a service-level objective.
#[derive(Deserialize)]
pub(super) struct FileObjective {
    #[serde(default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) class: String,
    #[serde(default)]
    pub(super) within_s: f64,
    #[serde(default)]
    pub(super) share: f64,
    #[serde(default)]
    pub(super) times: Option<f64>,
}

/// `[deployment.workers]`: intervals and timeouts of the workers, in seconds.
#[derive(Deserialize)]
pub(super) struct FileWorkers {
    #[serde(rename = "report_s")]
    pub(super) heartbeat_interval_s: f64,
    pub(super) lease_s: f64,
    pub(super) gang_wait_s: f64,
    #[serde(rename = "gang_peer_s")]
    pub(super) gang_loss_notice_s: f64,
    #[serde(rename = "cancel_s")]
    pub(super) cancel_within_s: f64,
}

/// `[deployment.state]`: limits of the state service.
#[derive(Deserialize)]
pub(super) struct FileState {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: f64,
    #[serde(rename = "write_rps")]
    pub(super) writes_per_s: f64,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub(super) max_mutations: usize,
    #[serde(default)]
    pub(super) next: Option<FileNextState>,
}

/// `[deployment.state.next]`: announced limits; a limit that is absent stays as it is.
#[derive(Deserialize)]
pub(super) struct FileNextState {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: Option<f64>,
    #[serde(rename = "write_rps")]
    pub(super) writes_per_s: Option<f64>,
    #[serde(rename = "value_kb")]
    pub(super) max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub(super) max_mutations: Option<usize>,
}

/// `[deployment.cloud]`: limits of the cloud API.
#[derive(Deserialize)]
pub(super) struct FileCloud {
    #[serde(rename = "rps")]
    pub(super) requests_per_s: f64,
    pub(super) list_lag_s: f64,
}

/// `[deployment.machine_limits]`: resources that this process may use.
#[derive(Deserialize)]
pub(super) struct FileMachineLimits {
    #[serde(default)]
    #[serde(rename = "core_share")]
    pub(super) cpu_share: f64,
    #[serde(default)]
    #[serde(rename = "ram_mb")]
    pub(super) memory_mb: f64,
    pub(super) max_connections: usize,
}

impl SettingsFile {
    /// Decodes the text of a settings file. `file` is its name in errors.
    pub(super) fn decode(file: &str, text: &str) -> Result<SettingsFile, SettingsError> {
        toml::from_str(text).map_err(|error| SettingsError::Field {
            file: file.into(),
            field: error_position(text, &error),
            reason: error.message().replace('\n', " "),
        })
    }
}

/// Returns the field and line at which decoding failed, as far as the error contains them.
fn error_position(text: &str, error: &toml::de::Error) -> String {
    let line = error
        .span()
        .map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    let field = line
        .and_then(|line| text.lines().nth(line - 1))
        .and_then(|line| line.split_once('='))
        .map(|(key, _)| key.trim());
    match (field, line) {
        (Some(field), Some(line)) => format!("{field} (line {line})"),
        (None, Some(line)) => format!("line {line}"),
        _ => "settings".into(),
    }
}
