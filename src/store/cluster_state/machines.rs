//! Application of machine changes: machine keys, scale-out requests that represent machines without a key
//! yet, termination batches that override the states in the machine keys, and machine types.

use super::ClusterState;
use super::apply::put_or_remove;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::store::keys;
use crate::wire::cloud::MachineType;
use crate::wire::from_value;
use ciborium::Value;

/// Progress of the termination of a machine in a termination batch.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum TerminationProgress {
    /// The machine is being returned to the cloud.
    Requested,
    /// The cloud confirmed that the machine is gone.
    Terminated,
}

impl ClusterState {
    pub(super) fn apply_machine(&mut self, name: &str, value: Option<&Value>) {
        let id: MachineId = name.into();
        if value.is_none() {
            self.images.remove(&id);
        }
        self.changed_machines.insert(id.clone());
        let existed = self.machines.contains_key(&id);
        put_or_remove(&mut self.machines, id.clone(), value);
        self.apply_termination_override(&id);
        self.machines_change_count += u64::from(existed != self.machines.contains_key(&id));
    }

    /// Applies machine types, which are stored all in one value, or one per key if that value would be too
    /// large.
    pub(super) fn apply_machine_types(&mut self, name: &str, value: Option<&Value>) {
        if !name.is_empty() {
            if let Some(machine_type) = value.and_then(from_value::<MachineType>) {
                self.machine_types
                    .insert(machine_type.name.clone(), machine_type);
            }
        } else if let Some(all) = value.and_then(from_value::<Vec<MachineType>>) {
            self.machine_types = all
                .into_iter()
                .map(|machine_type| (machine_type.name.clone(), machine_type))
                .collect();
        }
        let machines: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in machines {
            self.index_machine(&id);
        }
    }

    /// Derives the machines of a scale-out request that have no key yet from the request, so that a single
    /// write publishes many machines. Once written, a machine's own key replaces the derived record.
    pub(super) fn apply_scale_out_request(&mut self, name: &str, value: Option<&Value>) {
        let old_machines = self
            .scale_out_requests
            .get(name)
            .map(|request| request.machines.clone())
            .unwrap_or_default();
        put_or_remove(&mut self.scale_out_requests, name.to_string(), value);
        let request = self.scale_out_requests.get(name);
        let machines = request.map_or_else(Vec::new, |request| request.machines.clone());
        let derived = request.map(|request| request.initial_machine_record());
        for machine in old_machines.iter().filter(|name| !machines.contains(name)) {
            self.remove_derived_machine(machine);
        }
        for machine in machines {
            let key = keys::machine(&machine);
            if let Some(derived) = &derived
                && !self.key_versions.contains(&key)
                && !self.is_deleted(&key)
            {
                let id: MachineId = machine.into();
                self.machines
                    .entry(id.clone())
                    .or_insert_with(|| derived.clone());
                self.apply_termination_override(&id);
                self.machines_change_count += 1;
            }
        }
    }

    fn remove_derived_machine(&mut self, name: &str) {
        if !self.key_versions.contains(&keys::machine(name)) {
            let id = MachineId::from(name);
            self.machines.remove(&id);
            self.index_machine(&id);
            self.machines_change_count += 1;
        }
    }

    pub(super) fn apply_termination_batch(&mut self, name: &str, value: Option<&Value>) {
        let old_batch = self.termination_batches.get(name);
        let old_machines = old_batch
            .map(|batch| batch.machines.clone())
            .unwrap_or_default();
        put_or_remove(&mut self.termination_batches, name.to_string(), value);
        let batch = self
            .termination_batches
            .get(name)
            .cloned()
            .unwrap_or_default();
        for id in old_machines {
            if !batch.machines.contains(&id) {
                self.end_termination(&id);
            }
        }
        let progress = if batch.terminated {
            TerminationProgress::Terminated
        } else {
            TerminationProgress::Requested
        };
        let machine_count = self.machines.len();
        for id in batch.machines {
            self.terminating.insert(id.clone(), progress);
            self.changed_machines.insert(id.clone());
            self.apply_termination_override(&id);
        }
        self.machines_change_count += u64::from(machine_count != self.machines.len());
    }

    /// Ends the termination of a machine that is no longer in a batch: either the machine is not returned
    /// after all, or it is terminated and its key deleted.
    fn end_termination(&mut self, id: &MachineId) {
        if self.terminating.remove(id) == Some(TerminationProgress::Terminated) {
            // The cloud's machine list lags and may still contain the machine for a while, which causes
            // a controller to write its key again. The tombstone makes such writes ineffective.
            self.key_versions.set_tombstone(keys::machine(id), u64::MAX);
        }
        if let Some(own_state) = self.overridden_states.remove(id)
            && let Some(machine) = self.machines.get_mut(id)
        {
            machine.state = own_state;
            self.index_machine(id);
        }
    }

    /// Overrides the state of a machine in a termination batch: it is `Returning` regardless of its own key,
    /// and a terminated machine is not added again by a write that its owner made before reading of the
    /// termination.
    fn apply_termination_override(&mut self, id: &MachineId) {
        match self.terminating.get(id) {
            Some(TerminationProgress::Terminated) => {
                self.machines.remove(id);
                self.overridden_states.remove(id);
                self.images.remove(id);
            }
            Some(TerminationProgress::Requested) => {
                if let Some(machine) = self.machines.get_mut(id)
                    && machine.state != MachineState::Returning
                {
                    self.overridden_states.insert(id.clone(), machine.state);
                    machine.state = MachineState::Returning;
                }
            }
            None => {}
        }
        self.index_machine(id);
    }

    /// Returns whether a machine is in a termination batch.
    pub fn is_terminating(&self, id: &str) -> bool {
        self.terminating.contains_key(id)
    }
}
