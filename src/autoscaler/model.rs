//! Stored records of the autoscaler: machines, scale-out requests, termination batches. Field names in the
//! state service are the short ones of `serde`.

use crate::ids::MachineId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Desired state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Provisioned or listed; its worker has sent no heartbeat yet.
    #[serde(rename = "b")]
    Booting,
    /// Takes tasks.
    #[serde(rename = "u")]
    Up,
    /// Preemption notice received from the cloud: tasks that can write a checkpoint are stopped, nothing new
    /// starts.
    #[serde(rename = "d")]
    Draining,
    /// Cordoned, since the work needs fewer machines: nothing new starts, and it is terminated once empty.
    #[serde(rename = "c")]
    Closing,
    /// Its tasks fail or are slow: nothing new starts, and it is terminated once empty.
    #[serde(rename = "k")]
    Quarantined,
    /// Declared dead: to be terminated with all that runs on it.
    #[serde(rename = "l")]
    Lost,
    /// Being terminated; final.
    #[serde(rename = "r")]
    Returning,
}

/// A machine. Its record is deleted only once nothing can run on it any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine, not an on-demand one.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Address of its worker, once known.
    #[serde(rename = "a")]
    pub address: Option<String>,
    /// Session (agent epoch) of its worker; 0 until the first heartbeat.
    #[serde(rename = "s")]
    pub session: u64,
    /// Desired state.
    #[serde(rename = "st")]
    pub state: MachineState,
    /// Wall-clock time at which it was provisioned, or first seen.
    #[serde(rename = "r")]
    pub rented_at: Micros,
}

/// A request for machines of one kind. It is written before it is sent, so that its name is known to every
/// leader; the cloud's answer adds the machines. Machines found in the cloud's list are written as an
/// answered request. It stays until each of its machines has a record of its own, or is gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine, not an on-demand one.
    #[serde(rename = "p")]
    pub spot: bool,
    /// How many machines are requested.
    #[serde(rename = "n")]
    pub count: u32,
    /// Wall-clock time of the request.
    #[serde(rename = "at")]
    pub requested_at: Micros,
    /// The machines, once the cloud has answered.
    #[serde(rename = "m", default)]
    pub machines: Vec<String>,
}

impl ScaleOutRequest {
    /// The record of one of its machines that has no record of its own yet.
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

/// Machines to terminate, marked with one write. Where a batch names a machine, that overrides the machine's
/// own record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TerminationBatch {
    /// The machines.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
    /// The cloud has answered 200: they are gone with all that ran on them. Their records are deleted when
    /// writes can be spared, and then the batch.
    #[serde(rename = "g", default)]
    pub terminated: bool,
    /// They were declared dead: they are terminated with all that runs on them, not only while empty.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub declared_dead: bool,
}
