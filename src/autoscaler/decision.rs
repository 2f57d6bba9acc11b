//! What the autoscaler decides on, and what it decides. Plain values: the reconciler fills the input
//! from the cluster state and carries the decision out.

use super::model::{MachineRecord, MachineState, ScaleOutRequest};
use crate::ids::MachineId;
use crate::policy::Policy;
use crate::scheduling::Schedule;
use crate::settings::{Objective, Team};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::cloud::MachineType;
use foldhash::HashMap;

/// The cloud charges at least this long for a machine, so terminating it earlier saves nothing.
pub(super) const MINIMUM_CHARGE: Micros = 60 * SECOND;

/// Input of one decision of the leader.
pub struct CapacityForecast<'a> {
    /// Cluster state as last seen.
    pub view: &'a ClusterState,
    /// Schedule over all machines, those still booting included.
    pub schedule: &'a Schedule,
    /// Tunable parameters.
    pub policy: &'a Policy,
    /// Service-level objectives of the job classes.
    pub objectives: &'a [Objective],
    /// Teams with their quotas.
    pub teams: &'a [Team],
    /// Wall-clock time, microseconds since the epoch.
    pub wall_clock: Micros,
    /// Whether the cloud recently had no capacity for a machine type (first argument) in a zone
    /// (second), as spot machines (third).
    pub refused: &'a dyn Fn(&str, &str, bool) -> bool,
    /// Wall-clock time since which each idle machine has been idle.
    pub idle_since: &'a HashMap<MachineId, Micros>,
    /// Machines that one stored scale-out request can name.
    pub machines_per_request: usize,
    /// Whether a machine is known to be ready although its record still says that it boots.
    pub known_up: &'a dyn Fn(&MachineId) -> bool,
}

impl<'a> CapacityForecast<'a> {
    /// Time since a machine was provisioned.
    pub(super) fn age(&self, record: &MachineRecord) -> Micros {
        self.wall_clock.saturating_sub(record.rented_at)
    }

    /// CPUs that services take on a machine, in thousandths.
    pub(super) fn service_cpus(&self, id: &MachineId) -> i64 {
        self.view.usage(id).service_cpus
    }

    /// Whether any task is placed on a machine.
    pub(super) fn has_tasks(&self, id: &MachineId) -> bool {
        self.view.tasks_on(id).is_some()
    }

    /// Type of a machine, while the cloud offers it.
    pub(super) fn machine_type(&self, record: &MachineRecord) -> Option<&'a MachineType> {
        self.view.machine_types.get(&record.machine_type)
    }

    /// Machines in one state, in the order of their ids.
    pub(super) fn machines_in(
        &self,
        state: MachineState,
    ) -> impl Iterator<Item = (&'a MachineId, &'a MachineRecord)> + use<'a> {
        let view = self.view;
        view.machines
            .iter()
            .filter(move |(_, record)| record.state == state)
    }
}

/// What the leader should do now.
#[derive(Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Scale-out requests to write and send.
    pub scale_out: Vec<ScaleOutRequest>,
    /// Machines to terminate.
    pub scale_in: Vec<MachineId>,
    /// Machines to cordon: nothing new starts there, and they are terminated once empty.
    pub cordon: Vec<MachineId>,
    /// Cordoned machines to use again.
    pub uncordon: Vec<MachineId>,
}
