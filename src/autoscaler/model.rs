//! Machines as the program keeps them.

use crate::ids::MachineId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// What is wanted of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Rented or listed; its worker has not reported yet.
    #[serde(rename = "b")]
    Booting,
    /// Takes tasks.
    #[serde(rename = "u")]
    Up,
    /// About to be taken by the cloud: what can save is stopped, nothing new starts.
    #[serde(rename = "d")]
    Draining,
    /// More than the work needs: nothing new starts, and it is returned once empty.
    #[serde(rename = "c")]
    Closing,
    /// Fails or slows its tasks: nothing new starts.
    #[serde(rename = "k")]
    Quarantined,
    /// Silent: to be returned with all that is on it.
    #[serde(rename = "l")]
    Lost,
    /// Being returned; never taken back.
    #[serde(rename = "r")]
    Returning,
}

/// A machine. Its key is deleted only once nothing can be on it any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Worker's address, once known.
    #[serde(rename = "a")]
    pub address: Option<String>,
    /// Worker's session; 0 until it reported.
    #[serde(rename = "s")]
    pub session: u64,
    /// What is wanted of it.
    #[serde(rename = "st")]
    pub state: MachineState,
    /// Time of day of the rental, or when it was first seen.
    #[serde(rename = "r")]
    pub rented_at: Micros,
}

/// Machines of one kind: a rental about to be made (the request's name is written before the
/// request), and then the machines that came of it, or that were found in the cloud's list. It stays
/// until each of them has a key of its own, or was returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "p")]
    pub spot: bool,
    /// How many are asked for.
    #[serde(rename = "n")]
    pub count: u32,
    /// Time of day.
    #[serde(rename = "at")]
    pub requested_at: Micros,
    /// The machines, once known.
    #[serde(rename = "m", default)]
    pub machines: Vec<String>,
}

impl ScaleOutRequest {
    /// A machine of it of which nothing else is known.
    pub fn machine(&self) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            address: None,
            session: 0,
            state: MachineState::Booting,
            rented_at: self.requested_at,
        }
    }

    /// Whether the cloud has not answered yet.
    pub fn open(&self) -> bool {
        self.machines.is_empty()
    }
}

/// Machines on their way back to the cloud, marked with one write. Where a key names a machine, that
/// overrides the machine's own key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TerminationBatch {
    /// The machines.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
    /// The cloud has answered 200: they are gone with all that was on them. Their keys are deleted when
    /// writes are to spare, and then this one.
    #[serde(rename = "g", default)]
    pub terminated: bool,
    /// They were given up: they go with all that is on them, and not only while they are empty.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub declared_dead: bool,
}
