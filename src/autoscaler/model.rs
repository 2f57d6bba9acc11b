//! Machines as the program keeps them.

use crate::ids::HostId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// What is wanted of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
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
    Sick,
    /// Silent: to be returned with all that is on it.
    #[serde(rename = "l")]
    Lost,
    /// Being returned; never taken back.
    #[serde(rename = "r")]
    Returning,
}

/// A machine. Its key is deleted only once nothing can be on it any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Worker's address, once known.
    #[serde(rename = "a")]
    pub addr: Option<String>,
    /// Worker's session; 0 until it reported.
    #[serde(rename = "s")]
    pub session: u64,
    /// What is wanted of it.
    #[serde(rename = "st")]
    pub state: HostState,
    /// Time of day of the rental, or when it was first seen.
    #[serde(rename = "r")]
    pub rented: Micros,
}

/// Machines of one kind: a rental about to be made (the request's name is written before the
/// request), and then the machines that came of it, or that were found in the cloud's list. It stays
/// until each of them has a key of its own, or was returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Charter {
    /// Machine type.
    #[serde(rename = "t")]
    pub kind: String,
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
    pub at: Micros,
    /// The machines, once known.
    #[serde(rename = "m", default)]
    pub names: Vec<String>,
}

impl Charter {
    /// A machine of it of which nothing else is known.
    pub fn host(&self) -> Host {
        Host {
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: None,
            session: 0,
            state: HostState::Booting,
            rented: self.at,
        }
    }

    /// Whether the cloud has not answered yet.
    pub fn open(&self) -> bool {
        self.names.is_empty()
    }
}

/// Machines on their way back to the cloud, marked with one write. Where a key names a machine, that
/// overrides the machine's own key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    /// The machines.
    #[serde(rename = "m")]
    pub names: Vec<HostId>,
    /// The cloud has answered 200: they are gone with all that was on them. Their keys are deleted when
    /// writes are to spare, and then this one.
    #[serde(rename = "g", default)]
    pub gone: bool,
    /// They were given up: they go with all that is on them, and not only while they are empty.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub lost: bool,
}
