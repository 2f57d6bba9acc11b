//! Agreement on the storage layout: the newer one is put in force once every controller of the settings has stated
//! durably that it reads it. Owns no state in memory; writes this controller's version key and the layout key.

use super::records::{Member, Version};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::BTreeMap;

/// The storage layout of this version of the program: packed and split blocks, pipelines.
pub const LAYOUT_VERSION: u32 = 2;

/// Whether every controller that the settings name has written durably that it supports this layout, and no
/// live one states an older one. A list of the live ones would not do: a process that died before its
/// upgrade comes back with the old version.
pub fn all_support_layout<'a>(
    names: impl Iterator<Item = &'a str>,
    versions: &BTreeMap<String, Version>,
    members: &BTreeMap<String, Member>,
) -> bool {
    let mut names = names;
    names.all(|name| {
        versions
            .get(name)
            .is_some_and(|stated| stated.version >= LAYOUT_VERSION)
    }) && members
        .values()
        .all(|member| member.version >= LAYOUT_VERSION)
}

impl Controller {
    /// States durably that this controller supports the newer layout, and puts it in force once all controllers of
    /// the settings did. Until then everything is written as the version before reads it.
    pub(super) async fn advance_layout(&self) {
        let Some(transaction) = self.layout_transaction() else {
            return;
        };
        match self.watch_cache.transaction(&transaction).await {
            TransactionOutcome::Done(_) => {
                if self.watch_cache.view().layout.is_some() {
                    tracing::info!(
                        layout_version = LAYOUT_VERSION,
                        "storage layout enabled, every controller supports it"
                    );
                }
            }
            _ => {
                self.watch_cache.linearizable_read().await;
            }
        }
    }

    /// The next write towards the newer layout, if one is due.
    fn layout_transaction(&self) -> Option<Transaction> {
        let view = self.watch_cache.view();
        if view.layout.is_some() {
            return None;
        }
        let own_name = self.me();
        let peer_names = self.settings.peers.iter().map(|peer| peer.name.as_str());
        let stated = view.versions.get(own_name);
        let mut transaction = Transaction::default();
        let key = if stated.is_none_or(|stated| stated.version < LAYOUT_VERSION) {
            keys::version(own_name)
        } else if all_support_layout(peer_names.chain([own_name]), &view.versions, &view.members) {
            transaction.preconditions.push(Precondition {
                key: keys::LAYOUT.into(),
                version: 0,
            });
            keys::LAYOUT.into()
        } else {
            return None;
        };
        transaction.mutations.push(Mutation::Put {
            key,
            value: to_value(&Version {
                version: LAYOUT_VERSION,
            }),
            lease: None,
        });
        Some(transaction)
    }
}
