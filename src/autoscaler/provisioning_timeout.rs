//! Provisioning timeouts: which booting machines are late and excluded from the forecast, and which have
//! timed out and are terminated. All functions are pure functions of the cluster state.

use super::decision::CapacityForecast;
use super::model::{MachineRecord, MachineState};
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, from_secs};
use foldhash::{HashMap, HashMapExt, HashSet};

/// Multiple of its type's boot time after which a booting machine times out. `BOOT_GRACE_TIME` is added.
const BOOT_TIMEOUT_MULTIPLE: u64 = 3;
/// Time added to the multiple of the boot time: for types that boot fast, the write that marks a machine
/// ready takes longer than the boot.
const BOOT_GRACE_TIME: Micros = 15 * SECOND;
/// Boot time assumed for a type that the cloud no longer lists.
const DEFAULT_BOOT_TIME: Micros = 60 * SECOND;
/// Boot time after which a machine is late, in tenths of its type's boot time. `MAX_READY_WRITE_DELAY` is added.
const LATE_BOOT_TIME_TENTHS: u64 = 17;
/// Boot time after which a late machine times out, in tenths of its type's boot time, if other machines of
/// its type that were provisioned no earlier are up. `MAX_READY_WRITE_DELAY` is added.
const EARLY_TIMEOUT_BOOT_TIME_TENTHS: u64 = 25;
/// Longest delay of the write that marks a machine ready, while write capacity is scarce.
pub const MAX_READY_WRITE_DELAY: Micros = 20 * SECOND;
/// Longest delay of the same write while the other controllers receive the ready machines in peer heartbeats.
/// While a large cluster starts, one write per machine would use a large part of the write budget
/// and delay the placement of services.
pub const MAX_READY_WRITE_DELAY_WITH_PEER_HEARTBEATS: Micros = 90 * SECOND;

/// Returns the machines that have been booting for longer than `tenths` tenths of their type's boot time plus
/// `MAX_READY_WRITE_DELAY`, although other machines of the type, provisioned at the same time or later, are up.
/// Machines for which `is_ready` returns true have an outdated record and are excluded. A gang that counts on a
/// late machine would wait until the machine times out, with all its other machines idle. If all machines of a
/// type are late, booting is slow in general, and replacing them would provision twice the capacity.
fn late_machines(
    view: &ClusterState,
    wall_clock: Micros,
    tenths: u64,
    is_ready: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    let mut newest_up: HashMap<&str, Micros> = HashMap::new();
    for record in view.machines.values() {
        if record.state == MachineState::Up {
            let newest = newest_up.entry(&record.machine_type).or_default();
            *newest = record.provisioned_at.max(*newest);
        }
    }
    let is_late = |record: &MachineRecord| {
        let Some(machine_type) = view.machine_types.get(&record.machine_type) else {
            return false;
        };
        let limit = from_secs(machine_type.boot_time_s) * tenths / 10 + MAX_READY_WRITE_DELAY;
        record.state == MachineState::Booting
            && wall_clock.saturating_sub(record.provisioned_at) > limit
            && newest_up
                .get(record.machine_type.as_str())
                .is_some_and(|newest| *newest >= record.provisioned_at)
    };
    view.machines
        .iter()
        .filter(|(id, record)| is_late(record) && !is_ready(id))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Returns the late machines, which the forecast excludes. Machines for which `is_ready` returns true have
/// an outdated record and are not late.
pub fn late_booting_machines(
    view: &ClusterState,
    wall_clock: Micros,
    is_ready: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    late_machines(view, wall_clock, LATE_BOOT_TIME_TENTHS, is_ready)
}

/// Booting machines that timed out early because later machines of their type are up.
pub(super) struct ProvisioningTimeouts(HashSet<MachineId>);

impl ProvisioningTimeouts {
    /// Finds the machines that have exceeded the early timeout, see `EARLY_TIMEOUT_BOOT_TIME_TENTHS`.
    pub(super) fn new(forecast: &CapacityForecast<'_>) -> ProvisioningTimeouts {
        ProvisioningTimeouts(late_machines(
            forecast.view,
            forecast.wall_clock,
            EARLY_TIMEOUT_BOOT_TIME_TENTHS,
            forecast.is_known_ready,
        ))
    }

    /// Returns whether a machine has timed out, either early or by the boot timeout of its type.
    pub(super) fn timed_out(
        &self,
        forecast: &CapacityForecast<'_>,
        id: &MachineId,
        record: &MachineRecord,
    ) -> bool {
        if record.state != MachineState::Booting {
            return false;
        }
        let boot_time = forecast
            .machine_type(record)
            .map_or(DEFAULT_BOOT_TIME, |machine_type| {
                from_secs(machine_type.boot_time_s)
            });
        self.0.contains(id)
            || forecast.age(record) > boot_time * BOOT_TIMEOUT_MULTIPLE + BOOT_GRACE_TIME
    }
}
