//! Cloud: machine types, renting, returning, listing.

use serde::{Deserialize, Serialize};

/// Paths.
pub const TYPES: &str = "/machine_types";
/// Rentals and lists.
pub const HOSTS: &str = "/hosts";
/// Returns.
pub const RETURN: &str = "/hosts/return";

/// Answer with the machine types.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "rigs")]
    pub machine_types: Vec<MachineType>,
}

/// One machine type.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image cache.
    #[serde(default)]
    #[serde(rename = "local_gb")]
    pub image_cache_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(default)]
    #[serde(rename = "rate")]
    pub price_per_hour: f64,
    /// Spot price per hour.
    #[serde(default)]
    #[serde(rename = "market_price")]
    pub spot_price_per_hour: Option<f64>,
    /// Boot time.
    #[serde(default)]
    #[serde(rename = "ready_s")]
    pub boot_time_s: f64,
    /// Zones.
    #[serde(default)]
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// A rental.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProvisionRequest {
    /// Request name, never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Machine names: what was rented, or what is returned.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "deckhands")]
    pub machines: Vec<String>,
}

/// One page of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Page {
    /// Machines in name order.
    #[serde(rename = "deckhands")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(default)]
    pub more: bool,
}

/// One listed machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Worker's address.
    #[serde(default)]
    pub address: Option<String>,
    /// Type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State.
    pub status: ListedStatus,
    /// Age since the rental request.
    #[serde(default)]
    pub age_s: f64,
}

/// State of a machine in the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// Something this version does not know.
    #[serde(other)]
    Other,
}
