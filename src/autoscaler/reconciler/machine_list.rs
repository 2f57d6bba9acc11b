//! Reconciliation with the cloud's machine list: machines that failed or disappeared are declared lost,
//! machines without a record are adopted. The list lags, and a later response may be older than an earlier
//! one.

use super::LeaderState;
use crate::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest};
use crate::autoscaler::put_machine;
use crate::autoscaler::scale_out::InstanceKind;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs, wall_clock_now};
use crate::wire::WireError;
use crate::wire::cloud::{ListedMachine, ListedStatus, MACHINES_PATH, Page};
use crate::wire::state::Transaction;
use foldhash::HashMap;
use std::collections::BTreeMap;

/// Number of consecutive lists without a booting machine after which it is declared lost.
const LOST_AFTER_UNLISTED_COUNT: u32 = 3;
/// Time added to three times the list's lag. A machine whose age is at least this sum must be in every list.
const LIST_GRACE_TIME: Micros = 10 * SECOND;

/// Listed machines by name.
type MachineList = BTreeMap<String, ListedMachine>;

/// Listed machine without a record.
struct UnknownMachine {
    name: String,
    /// Wall-clock time, computed from the age given in the list.
    provisioned_at: Micros,
}

impl Controller {
    /// Reads the machine list, adopts unknown machines and declares failed and missing machines lost.
    pub(super) async fn reconcile_with_machine_list(&self, state: &mut LeaderState) {
        let requested_at = wall_clock_now();
        let list = match self.read_machine_list().await {
            Ok(list) => list,
            Err(error) => {
                tracing::info!(%error, "cloud request for the machine list failed");
                return;
            }
        };
        let listed_after = self.settings.list_lag * 3 + LIST_GRACE_TIME;
        state
            .terminated_at
            .retain(|_, at| requested_at.saturating_sub(*at) < listed_after);
        let (lost, unknown) = {
            let view = self.watch_cache.view();
            let mut lost = failed_machines(&view, &list, &state.terminated_at);
            lost.extend(unlisted_machines(
                &view,
                &list,
                &mut state.consecutive_unlisted,
                |record| requested_at.saturating_sub(record.provisioned_at) >= listed_after,
            ));
            let unknown = unknown_machines(&view, &list, &state.terminated_at, requested_at);
            (lost, unknown)
        };
        self.adopt_unknown_machines(unknown, requested_at).await;
        self.write_lost_machines(&lost).await;
    }

    /// Reads all pages of the machine list.
    async fn read_machine_list(&self) -> Result<MachineList, WireError> {
        let mut list = MachineList::new();
        let mut after = String::new();
        loop {
            let path = format!("{MACHINES_PATH}?after={after}&most=500");
            let answer = self.get_from_cloud(&path).await;
            let page = answer.and_then(|answer| answer.ok::<Page>())?;
            let Some(last) = page.machines.last().map(|machine| machine.id.clone()) else {
                return Ok(list);
            };
            let more = page.more && last > after;
            after = last;
            list.extend(
                page.machines
                    .into_iter()
                    .map(|machine| (machine.id.clone(), machine)),
            );
            if !more {
                return Ok(list);
            }
        }
    }

    /// Stores machines without a record as answered scale-out requests, many machines with one write. They
    /// are charged for, so they are used.
    async fn adopt_unknown_machines(
        &self,
        unknown: BTreeMap<InstanceKind, Vec<UnknownMachine>>,
        requested_at: Micros,
    ) {
        for (kind, machines) in unknown {
            for chunk in machines.chunks(self.max_machines_per_request()) {
                let newest = chunk.iter().map(|machine| machine.provisioned_at).max();
                let request = ScaleOutRequest {
                    machine_type: kind.machine_type.clone(),
                    zone: kind.zone.clone(),
                    spot: kind.spot,
                    count: chunk.len() as u32,
                    requested_at: newest.unwrap_or(requested_at),
                    machines: chunk.iter().map(|machine| machine.name.clone()).collect(),
                };
                let name = self.next_cloud_request_name();
                self.write_scale_out_request(&name, &request).await;
            }
        }
    }

    /// Writes the records of machines declared lost.
    async fn write_lost_machines(&self, lost: &[(MachineId, MachineRecord)]) {
        for chunk in lost.chunks(self.state_limits().max_mutations) {
            let mut transaction = Transaction::default();
            {
                let view = self.watch_cache.view();
                for (id, record) in chunk {
                    put_machine(&mut transaction, &view, id, record);
                }
            }
            if !transaction.mutations.is_empty() {
                self.watch_cache.transaction(&transaction).await;
            }
        }
    }
}

/// Returns the record with state `Lost`.
fn lost_record(record: &MachineRecord) -> MachineRecord {
    MachineRecord {
        state: MachineState::Lost,
        ..record.clone()
    }
}

/// Returns the machines that have failed according to the list.
fn failed_machines(
    view: &ClusterState,
    list: &MachineList,
    terminated_at: &HashMap<String, Micros>,
) -> Vec<(MachineId, MachineRecord)> {
    list.iter()
        .filter(|(name, listed)| {
            listed.status == ListedStatus::Failed && !terminated_at.contains_key(*name)
        })
        .filter_map(|(name, _)| view.machines.get_key_value(name.as_str()))
        .filter(|(_, record)| !matches!(record.state, MachineState::Lost | MachineState::Returning))
        .map(|(id, record)| (id.clone(), lost_record(record)))
        .collect()
}

/// Returns the machines that the cloud took back while they were booting, which no missing heartbeat can
/// reveal. They are declared lost and then terminated, which ensures that they no longer run. Since a list
/// may be out of date, a machine must be old enough (`must_be_listed`) and missing from several consecutive
/// lists.
fn unlisted_machines(
    view: &ClusterState,
    list: &MachineList,
    consecutive_unlisted: &mut HashMap<MachineId, u32>,
    must_be_listed: impl Fn(&MachineRecord) -> bool,
) -> Vec<(MachineId, MachineRecord)> {
    let mut unlisted = Vec::new();
    for (id, record) in &view.machines {
        let booting = record.state == MachineState::Booting;
        if list.contains_key(&**id) || !booting || !must_be_listed(record) {
            consecutive_unlisted.remove(id);
            continue;
        }
        let count = consecutive_unlisted.entry(id.clone()).or_default();
        *count += 1;
        if *count >= LOST_AFTER_UNLISTED_COUNT {
            unlisted.push((id.clone(), lost_record(record)));
        }
    }
    unlisted
}

/// Returns the listed machines without a record, by instance kind. Machines whose record was deleted are
/// terminated even if the lagging list still contains them.
fn unknown_machines(
    view: &ClusterState,
    list: &MachineList,
    terminated_at: &HashMap<String, Micros>,
    requested_at: Micros,
) -> BTreeMap<InstanceKind, Vec<UnknownMachine>> {
    let mut unknown: BTreeMap<InstanceKind, Vec<UnknownMachine>> = BTreeMap::new();
    for (name, listed) in list {
        if terminated_at.contains_key(name)
            || view.machines.contains_key(name.as_str())
            || view.is_deleted(&keys::machine(name))
        {
            continue;
        }
        let kind = InstanceKind {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        };
        unknown.entry(kind).or_default().push(UnknownMachine {
            name: name.clone(),
            provisioned_at: requested_at.saturating_sub(from_secs(listed.age_s)),
        });
    }
    unknown
}
