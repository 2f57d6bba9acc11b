//! Input and output of a scaling decision. Both are plain values: the reconciler builds the input from
//! the cluster state and executes the decision.

use super::model::{MachineRecord, MachineState, ScaleOutRequest};
use crate::ids::MachineId;
use crate::policy::Policy;
use crate::scheduling::Schedule;
use crate::settings::{Objective, Team};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::cloud::MachineType;
use foldhash::HashMap;

/// Shortest time for which the cloud charges for a machine. Terminating it earlier saves nothing.
pub(super) const MINIMUM_CHARGE_DURATION: Micros = 60 * SECOND;

/// Input of one scaling decision of the leader.
pub struct CapacityForecast<'a> {
    /// Latest known cluster state.
    pub view: &'a ClusterState,
    /// Schedule computed over all machines, including those that are still booting.
    pub schedule: &'a Schedule,
    /// Tunable parameters.
    pub policy: &'a Policy,
    /// Service-level objectives of the job classes.
    pub objectives: &'a [Objective],
    /// Teams with their quotas.
    pub teams: &'a [Team],
    /// Wall-clock time, microseconds since the epoch.
    pub wall_clock: Micros,
    /// Returns whether the cloud recently refused to provision a machine type (first argument) in a zone
    /// (second argument), as spot machines if the third argument is true.
    pub recently_refused: &'a dyn Fn(&str, &str, bool) -> bool,
    /// Wall-clock time since which each idle machine has been idle.
    pub idle_since: &'a HashMap<MachineId, Micros>,
    /// Maximum number of machines that one stored scale-out request can name.
    pub max_machines_per_request: usize,
    /// Returns whether a machine is known to be ready although its record is still in state `Booting`.
    pub is_known_ready: &'a dyn Fn(&MachineId) -> bool,
}

impl<'a> CapacityForecast<'a> {
    /// Returns the time since a machine was provisioned.
    pub(super) fn age(&self, record: &MachineRecord) -> Micros {
        self.wall_clock.saturating_sub(record.provisioned_at)
    }

    /// Returns the CPUs that services use on a machine, in thousandths of a CPU.
    pub(super) fn service_cpus(&self, id: &MachineId) -> i64 {
        self.view.usage(id).service_cpus
    }

    /// Returns whether any task is placed on a machine.
    pub(super) fn has_tasks(&self, id: &MachineId) -> bool {
        self.view.tasks_on(id).is_some()
    }

    /// Returns the type of a machine, or `None` if the cloud no longer offers it.
    pub(super) fn machine_type(&self, record: &MachineRecord) -> Option<&'a MachineType> {
        self.view.machine_types.get(&record.machine_type)
    }

    /// Returns the machines in a state, ordered by id.
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

/// Actions that the leader should take now.
#[derive(Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Scale-out requests to write and send.
    pub scale_out: Vec<ScaleOutRequest>,
    /// Machines to terminate.
    pub scale_in: Vec<MachineId>,
    /// Machines to cordon: no new task is placed on them, and they are terminated once empty.
    pub cordon: Vec<MachineId>,
    /// Cordoned machines to return to service.
    pub uncordon: Vec<MachineId>,
}
