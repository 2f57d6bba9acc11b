//! Machines that do not come up: which ones the forecast stops counting on, and which ones are given
//! up. Pure functions of the cluster state.

use super::decision::CapacityForecast;
use super::model::{MachineRecord, MachineState};
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, from_secs};
use foldhash::{HashMap, HashMapExt, HashSet};

/// A machine that has not come up after this multiple of its type's boot time, plus
/// `BOOT_GRACE`, is given up.
const BOOT_TIME_LIMIT: u64 = 3;
/// Added to `BOOT_TIME_LIMIT`: for types that boot fast, the write that a machine is ready takes
/// longer than the boot.
const BOOT_GRACE: Micros = 15 * SECOND;
/// Boot time assumed for a type that the cloud no longer lists.
const DEFAULT_BOOT_TIME: Micros = 60 * SECOND;
/// Tenths of its type's boot time after which a machine is late.
const LATE_TENTHS: u64 = 17;
/// Tenths of its type's boot time after which a late machine is given up, if others of its type that
/// were provisioned no earlier are up.
const GIVE_UP_TENTHS: u64 = 25;
/// Longest delay of the write that a machine is ready, while writes are short.
pub const MAX_READY_WRITE_DELAY: Micros = 20 * SECOND;
/// The same while peer heartbeats tell the other controllers: while a large cluster starts, one write
/// a machine would take a large part of the write budget, and services would wait for it.
pub const MAX_READY_WRITE_DELAY_PEERS_AWARE: Micros = 90 * SECOND;

/// Machines that boot for longer than `tenths` tenths of their type's boot time although others of the
/// type, provisioned at the same time or later, are up. `is_ready` names machines whose record is out of
/// date. A gang would wait for one of these until it is given up, and keep all its other machines idle.
/// If all machines of a type are late, booting is slow just now, and replacing them would provision twice.
fn overdue(
    view: &ClusterState,
    wall_clock: Micros,
    tenths: u64,
    is_ready: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    let mut newest_up: HashMap<&str, Micros> = HashMap::new();
    for record in view.machines.values() {
        if record.state == MachineState::Up {
            let newest = newest_up.entry(&record.machine_type).or_default();
            *newest = record.rented_at.max(*newest);
        }
    }
    let is_late = |record: &MachineRecord| {
        let Some(machine_type) = view.machine_types.get(&record.machine_type) else {
            return false;
        };
        let limit = from_secs(machine_type.boot_time_s) * tenths / 10 + MAX_READY_WRITE_DELAY;
        record.state == MachineState::Booting
            && wall_clock.saturating_sub(record.rented_at) > limit
            && newest_up
                .get(record.machine_type.as_str())
                .is_some_and(|newest| *newest >= record.rented_at)
    };
    view.machines
        .iter()
        .filter(|(id, record)| is_late(record) && !is_ready(id))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Late machines, on which the forecast does not count. `is_ready` names machines whose record is out of
/// date.
pub fn not_expected(
    view: &ClusterState,
    wall_clock: Micros,
    is_ready: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    overdue(view, wall_clock, LATE_TENTHS, is_ready)
}

/// Booting machines that are given up.
pub(super) struct ProvisioningTimeouts(HashSet<MachineId>);

impl ProvisioningTimeouts {
    /// Machines that others of their type have overtaken by far.
    pub(super) fn new(forecast: &CapacityForecast<'_>) -> ProvisioningTimeouts {
        ProvisioningTimeouts(overdue(
            forecast.view,
            forecast.wall_clock,
            GIVE_UP_TENTHS,
            forecast.known_up,
        ))
    }

    /// Whether a machine has timed out: overtaken by others, or over the limit of its type.
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
        self.0.contains(id) || forecast.age(record) > boot_time * BOOT_TIME_LIMIT + BOOT_GRACE
    }
}
