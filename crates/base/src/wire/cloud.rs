//! Protocol of the cloud API: machine types, scale-out, scale-in and the list of machines.
//!
//! `serde` attributes map each wire name (`deckhand`, `rig`, `yard`, `charter`, ...) to a standard term, here only.

use serde::{Deserialize, Serialize};

/// Path of the machine types: GET.
pub const MACHINE_TYPES_PATH: &str = "/machine_types";
/// Path of the machines: GET lists them, POST requests new ones.
pub const MACHINES_PATH: &str = "/hosts";
/// Path that terminates machines: POST.
pub const TERMINATE_PATH: &str = "/hosts/return";

/// Response with the machine types.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// Machine types that can be requested.
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineType>,
}

/// Machine type: resources and prices of its machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of a machine, in gigabytes.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, in gigabytes.
    #[serde(default)]
    #[serde(rename = "local_gb")]
    pub image_cache_gb: f64,
    /// Rate at which a machine fetches images, in gigabytes per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(default)]
    #[serde(rename = "rate")]
    pub price_per_hour: f64,
    /// Price of a spot machine per hour; `None` if the type is not offered as spot.
    #[serde(default)]
    #[serde(rename = "market_price")]
    pub spot_price_per_hour: Option<f64>,
    /// Time from the scale-out request until a machine is up, in seconds.
    #[serde(default)]
    #[serde(rename = "ready_s")]
    pub boot_time_s: f64,
    /// Zones in which the type is offered.
    #[serde(default)]
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Scale-out request for machines of one type in one zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProvisionRequest {
    /// Idempotency key of the request; never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Requested machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Requested zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Machine names: those that a scale-out request created, or those to terminate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "deckhands")]
    pub machines: Vec<String>,
}

/// Page of the list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Page {
    /// Machines in name order.
    #[serde(rename = "deckhands")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow this page.
    #[serde(default)]
    pub more: bool,
}

/// Entry of the cloud's list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address of the machine's worker; `None` until it is known.
    #[serde(default)]
    pub address: Option<String>,
    /// Machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which the machine is.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine.
    pub status: ListedStatus,
    /// Time since the scale-out request, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// Requested and not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped without a termination request.
    Failed,
    /// State that this version does not support.
    #[serde(other)]
    Other,
}
