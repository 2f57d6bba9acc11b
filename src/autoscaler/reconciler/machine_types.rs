//! Machine types offered by the cloud, stored in the state service for all controllers.

use crate::controller::Controller;
use crate::store::keys;
use crate::wire::cloud::{MACHINE_TYPES_PATH, MachineType, MachineTypes};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::{encode, json_size, to_value};

impl Controller {
    /// Reads the cloud's machine types and writes them if they changed.
    pub(super) async fn refresh_machine_types(&self) {
        let answer = self.get_from_cloud(MACHINE_TYPES_PATH).await;
        let answer = match answer.and_then(|answer| answer.ok::<MachineTypes>()) {
            Ok(answer) => answer,
            Err(error) => {
                tracing::info!(%error, "cloud request for machine types failed");
                return;
            }
        };
        let stored: Vec<MachineType> = self
            .watch_cache
            .view()
            .machine_types
            .values()
            .cloned()
            .collect();
        let mut offered = answer.machine_types;
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        if encode(&stored) == encode(&offered) || offered.is_empty() {
            return;
        }
        let max_mutations = self.state_limits().max_mutations;
        let mutations = match json_size(&offered) > self.max_value_bytes() {
            true => changed_types(&stored, &offered),
            false => vec![Mutation::Put {
                key: keys::MACHINE_TYPES.into(),
                value: to_value(&offered),
                lease: None,
            }],
        };
        for chunk in mutations.chunks(max_mutations) {
            let transaction = Transaction {
                preconditions: Vec::new(),
                mutations: chunk.to_vec(),
            };
            self.watch_cache.transaction(&transaction).await;
        }
    }
}

/// Returns one write per changed type. Used if the types together exceed the size limit of one value.
fn changed_types(stored: &[MachineType], offered: &[MachineType]) -> Vec<Mutation> {
    offered
        .iter()
        .filter(|new| !stored.iter().any(|old| encode(old) == encode(new)))
        .map(|new| Mutation::Put {
            key: keys::machine_type(&new.name),
            value: to_value(new),
            lease: None,
        })
        .collect()
}
