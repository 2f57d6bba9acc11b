//! Stored records of the autoscaler: machines, scale-out requests and termination batches. The `serde`
//! attributes give the short field names used in the state service.

use crate::ids::MachineId;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Desired state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Provisioned or in the cloud's machine list, but no heartbeat of its worker has been received yet.
    #[serde(rename = "b")]
    Booting,
    /// Ready: tasks can be placed on it.
    #[serde(rename = "u")]
    Up,
    /// Preemption notice received from the cloud: tasks that can write a checkpoint are stopped, and no new
    /// task is placed on it.
    #[serde(rename = "d")]
    Draining,
    /// Cordoned because the work needs fewer machines: no new task is placed on it, and it is terminated
    /// once empty.
    #[serde(rename = "c")]
    Closing,
    /// Its tasks fail or are slow: no new task is placed on it, and it is terminated once empty.
    #[serde(rename = "k")]
    Quarantined,
    /// Declared dead: to be terminated together with all tasks on it.
    #[serde(rename = "l")]
    Lost,
    /// Being terminated. This state is final.
    #[serde(rename = "r")]
    Returning,
}

/// Record of a machine. It is deleted only when no task can still be running on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machine is a spot machine rather than an on-demand machine.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Address of its worker, once known.
    #[serde(rename = "a")]
    pub address: Option<String>,
    /// Session (agent epoch) of its worker; 0 before the first heartbeat.
    #[serde(rename = "s")]
    pub session: u64,
    /// Desired state.
    #[serde(rename = "st")]
    pub state: MachineState,
    /// Wall-clock time at which the machine was provisioned or first seen.
    #[serde(rename = "r")]
    pub provisioned_at: Micros,
}

/// Request for machines of one type and zone, all spot or all on-demand. It is stored before it is sent, so
/// that every later leader can resend it under the same name; the cloud's response adds the machine names.
/// Unknown machines in the cloud's machine list are stored as an answered request. A request is kept until
/// each of its machines has a separate record or is terminated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether spot machines are requested rather than on-demand machines.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Number of machines requested.
    #[serde(rename = "n")]
    pub count: u32,
    /// Wall-clock time of the request.
    #[serde(rename = "at")]
    pub requested_at: Micros,
    /// Names of the machines; empty until the cloud has answered.
    #[serde(rename = "m", default)]
    pub machines: Vec<String>,
}

impl ScaleOutRequest {
    /// Returns the initial record of a machine of this request that has no stored record yet.
    pub fn initial_machine_record(&self) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            address: None,
            session: 0,
            state: MachineState::Booting,
            provisioned_at: self.requested_at,
        }
    }

    /// Returns whether the cloud has not answered the request yet.
    pub fn is_unanswered(&self) -> bool {
        self.machines.is_empty()
    }
}

/// Machines marked for termination with one write. A batch that names a machine takes precedence over the
/// state in the machine's record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TerminationBatch {
    /// Ids of the machines.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
    /// Whether the cloud has answered 200: the machines and all tasks on them are terminated. Their records
    /// and then the batch are deleted when spare write capacity is available.
    #[serde(rename = "g", default)]
    pub terminated: bool,
    /// Whether the machines were declared dead. Such machines are terminated even if tasks are placed on
    /// them, other machines only while empty.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub declared_dead: bool,
}
