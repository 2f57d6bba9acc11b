//! Agreement on the storage layout: the newer layout is enabled once every controller in the settings has
//! recorded durably that it supports it. Holds no state in memory; writes this controller's version key and
//! the layout key.

use super::records::{LayoutVersion, Member};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::{BTreeMap, BTreeSet};

/// Layout that adds pipelines. Versions whose newest layout it is read task blocks in every form, but write them
/// whole and plain unless lower limits of the state service are announced to them.
const PIPELINES_LAYOUT: u32 = 2;
/// Layout that writes task blocks packed, and split where they are too large for a value, whatever limits are
/// announced.
const PACKED_BLOCKS_LAYOUT: u32 = 3;
/// Layout of this version of the program: fencing tokens of machines may be raised within a term. Earlier versions
/// take them for the tokens of a later owner.
pub const LAYOUT_VERSION: u32 = 4;

impl LayoutVersion {
    /// Returns whether task blocks are written packed and split while this layout is in force. All controllers that
    /// agreed on the layout before it read these forms. Their plain writes, however, are conditional on the block's
    /// key alone and would replace parts that changed meanwhile.
    pub fn packs_blocks(self, lower_limits_announced: bool) -> bool {
        self.layout_version >= PACKED_BLOCKS_LAYOUT || lower_limits_announced
    }

    /// Returns whether fencing tokens may have increments within a term while this layout is in force.
    pub fn increments_tokens(self) -> bool {
        self.layout_version >= LAYOUT_VERSION
    }
}

/// Returns the newest layout that every controller named in the settings has recorded durably as supported, and
/// that every live member states. Checking only the live members would not be sufficient: a process that died
/// before its upgrade may restart with the old version. `None` if one of them supports only the first layout,
/// which is not recorded.
pub fn layout_supported_by_all<'a>(
    names: impl Iterator<Item = &'a str>,
    versions: &BTreeMap<String, LayoutVersion>,
    members: &BTreeMap<String, Member>,
) -> Option<LayoutVersion> {
    let recorded = names.map(|name| {
        versions
            .get(name)
            .map_or(0, |version| version.layout_version)
    });
    let stated = members.values().map(|member| member.layout_version);
    let layout_version = recorded.chain(stated).min()?;
    (layout_version >= PIPELINES_LAYOUT).then_some(LayoutVersion { layout_version })
}

/// Returns the next write of a controller towards a newer layout, if one is due: the record that it supports the
/// layout of this version, the lowered record of a controller that was rolled back, or the layout that all
/// controllers in the settings support. A layout that is in force
/// is only ever raised.
pub fn next_layout_write<'a>(
    view: &ClusterState,
    own_name: &'a str,
    peer_names: impl Iterator<Item = &'a str>,
) -> Option<Transaction> {
    let includes = |layout: Option<&LayoutVersion>, layout_version: u32| {
        layout.is_some_and(|layout| layout.layout_version >= layout_version)
    };
    if includes(view.layout.as_ref(), LAYOUT_VERSION) {
        return None;
    }
    if !includes(view.versions.get(own_name), LAYOUT_VERSION) {
        let own_layout = LayoutVersion {
            layout_version: LAYOUT_VERSION,
        };
        // A write that is carried out late must not follow a rollback of this controller.
        let unchanged = vec![view.precondition(keys::member(own_name))];
        return Some(put(unchanged, keys::version(own_name), own_layout));
    }
    if let Some(lowered) = lowered_record(view, own_name) {
        return Some(lowered);
    }
    let names: BTreeSet<&str> = peer_names.chain([own_name]).collect();
    let supported = layout_supported_by_all(names.iter().copied(), &view.versions, &view.members)?;
    let in_force = includes(view.layout.as_ref(), supported.layout_version);
    (!in_force).then(|| {
        let unchanged = agreement_preconditions(view, &names);
        put(unchanged, keys::LAYOUT.into(), supported)
    })
}

/// Returns the preconditions of the layout in force: what the controllers recorded and state has not changed. A write
/// that is carried out late must not follow a rollback.
fn agreement_preconditions(view: &ClusterState, names: &BTreeSet<&str>) -> Vec<Precondition> {
    let versions = names.iter().map(|name| keys::version(name));
    let members = view.members.keys().map(String::as_str);
    let members: BTreeSet<&str> = names.iter().copied().chain(members).collect();
    let members = members.into_iter().map(keys::member);
    let unchanged = [keys::LAYOUT.to_string()].into_iter();
    unchanged
        .chain(versions)
        .chain(members)
        .map(|key| view.precondition(key))
        .collect()
}

/// Returns the write that lowers the recorded layout of another controller to the one that it states, if it was rolled
/// back to an earlier version. That version lowers no record, and its member key is gone while it restarts: the layout
/// would come into force then.
fn lowered_record(view: &ClusterState, own_name: &str) -> Option<Transaction> {
    let (name, member) = view.members.iter().find(|(name, member)| {
        name.as_str() != own_name
            && view
                .versions
                .get(*name)
                .is_some_and(|recorded| recorded.layout_version > member.layout_version)
    })?;
    let unchanged = [keys::version(name), keys::member(name)].map(|key| view.precondition(key));
    let stated = LayoutVersion {
        layout_version: member.layout_version,
    };
    Some(put(unchanged.to_vec(), keys::version(name), stated))
}

/// Returns the transaction that writes a layout under a key.
fn put(preconditions: Vec<Precondition>, key: String, layout: LayoutVersion) -> Transaction {
    Transaction {
        preconditions,
        mutations: vec![Mutation::Put {
            key,
            value: to_value(&layout),
            lease: None,
        }],
    }
}

impl Controller {
    /// Records durably that this controller supports the layout of this version, and raises the layout in force
    /// once all controllers in the settings support a newer one. Until then everything is written in the form
    /// that the versions beside this one read and write.
    pub(super) async fn advance_layout(&self) {
        let peer_names = self.settings.peers.iter().map(|peer| peer.name.as_str());
        let transaction = next_layout_write(&self.watch_cache.view(), self.node_name(), peer_names);
        let Some(transaction) = transaction else {
            return;
        };
        let before = self.watch_cache.view().layout;
        match self.watch_cache.transaction(&transaction).await {
            TransactionOutcome::Committed(_) => {
                let in_force = self.watch_cache.view().layout;
                if let Some(LayoutVersion { layout_version }) =
                    in_force.filter(|_| in_force != before)
                {
                    tracing::info!(
                        layout_version,
                        "storage layout enabled, every controller supports it"
                    );
                }
            }
            _ => {
                self.watch_cache.linearizable_read().await;
            }
        }
    }
}
