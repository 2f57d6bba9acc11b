//! Agreement on the storage layout: the newer layout is enabled once every controller in the settings has
//! recorded durably that it supports it. Holds no state in memory; writes this controller's version key and
//! the layout key.

use super::records::{LayoutVersion, Member};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::BTreeMap;

/// Storage layout of this version of the program: packed and split blocks, pipelines.
pub const LAYOUT_VERSION: u32 = 2;

/// Returns whether every controller named in the settings has recorded durably that it supports this
/// layout, and no live member states an older one. Checking only the live members would not be sufficient:
/// a process that died before its upgrade may restart with the old version.
pub fn all_support_layout<'a>(
    names: impl Iterator<Item = &'a str>,
    versions: &BTreeMap<String, LayoutVersion>,
    members: &BTreeMap<String, Member>,
) -> bool {
    let mut names = names;
    names.all(|name| {
        versions
            .get(name)
            .is_some_and(|recorded| recorded.layout_version >= LAYOUT_VERSION)
    }) && members
        .values()
        .all(|member| member.layout_version >= LAYOUT_VERSION)
}

impl Controller {
    /// Records durably that this controller supports the newer layout, and enables the layout once all
    /// controllers in the settings have done so. Until then everything is written in the form that the
    /// previous version reads.
    pub(super) async fn advance_layout(&self) {
        let Some(transaction) = self.layout_transaction() else {
            return;
        };
        match self.watch_cache.transaction(&transaction).await {
            TransactionOutcome::Committed(_) => {
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

    /// Returns the next write towards enabling the newer layout, if one is due.
    fn layout_transaction(&self) -> Option<Transaction> {
        let view = self.watch_cache.view();
        if view.layout.is_some() {
            return None;
        }
        let own_name = self.node_name();
        let peer_names = self.settings.peers.iter().map(|peer| peer.name.as_str());
        let recorded = view.versions.get(own_name);
        let mut transaction = Transaction::default();
        let key = if recorded.is_none_or(|recorded| recorded.layout_version < LAYOUT_VERSION) {
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
            value: to_value(&LayoutVersion {
                layout_version: LAYOUT_VERSION,
            }),
            lease: None,
        });
        Some(transaction)
    }
}
