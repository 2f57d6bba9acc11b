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
pub struct Types {
    /// All types.
    pub rigs: Vec<MachineType>,
}

/// One machine type.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    /// Name.
    pub sku: String,
    /// CPUs.
    pub cores: f64,
    /// GPUs.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory.
    pub ram_gb: f64,
    /// Image cache.
    #[serde(default)]
    pub local_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(default)]
    pub rate: f64,
    /// Spot price per hour.
    #[serde(default)]
    pub market_price: Option<f64>,
    /// Boot time.
    #[serde(default)]
    pub ready_s: f64,
    /// Zones.
    #[serde(default)]
    pub yards: Vec<String>,
}

/// A rental.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rental {
    /// Request name, never reused.
    pub charter: String,
    /// Type.
    pub rig: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub loaners: bool,
    /// How many.
    pub count: u32,
}

/// Machine names: what was rented, or what is returned.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Names {
    /// Names.
    pub deckhands: Vec<String>,
}

/// One page of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Page {
    /// Machines in name order.
    pub deckhands: Vec<Listed>,
    /// Whether there are more.
    #[serde(default)]
    pub more: bool,
}

/// One listed machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listed {
    /// Name.
    pub id: String,
    /// Worker's address.
    #[serde(default)]
    pub address: Option<String>,
    /// Type.
    pub rig: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    #[serde(default)]
    pub loaners: bool,
    /// State.
    pub status: HostStatus,
    /// Age since the rental request.
    #[serde(default)]
    pub age_s: f64,
}

/// State of a machine in the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
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
