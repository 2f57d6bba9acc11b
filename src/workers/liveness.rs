//! Conclusions from missing contact with workers: dead machines, isolation of this controller, expired
//! leases. Pure.
//!
//! Missing contact alone does not prove that tasks have ended. Only the expired lease of a worker that
//! is fenced by this controller's token does.

use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// Part of the cancellation deadline that must remain when the leases renewed by this controller have
/// expired: allowance for clock drift and for timers that fire late.
const CANCELLATION_MARGIN: Micros = 2 * SECOND;

/// Time added to a lease and its clock drift before it counts as expired: allowance for timers that
/// fire late.
const LEASE_EXPIRY_MARGIN: Micros = SECOND;

/// Returns the longest time for which a lease may last on a worker whose clock runs slow. Clocks drift
/// by at most one in a thousand.
fn with_clock_drift(lease: Micros) -> Micros {
    lease + lease / 1000
}

/// Inputs for the decision whether a machine is lost.
#[derive(Clone, Copy, Debug)]
pub struct LivenessCheck {
    /// Half of the time without contact after which a machine is declared dead even if missed probes
    /// have not confirmed it.
    pub heartbeat_timeout: Micros,
    /// Current time.
    pub now: Micros,
    /// Whether this controller is unreachable for workers ([`isolated`]).
    pub isolated: bool,
}

impl WorkerState {
    /// Records a call that received no answer. `latest_contact_of_any` is the time of the latest
    /// contact with any machine before the call was sent. Later contact does not count: when a network
    /// partition heals, delayed messages of one machine can arrive before those of another.
    pub fn record_missed_probe(&mut self, latest_contact_of_any: Micros, now: Micros) {
        let probes = &mut self.probes;
        probes.last_failed_at = now;
        if probes.missed_probes == 0 {
            probes.first_missed_at = now;
        } else if latest_contact_of_any > probes.first_missed_at {
            probes.confirmed_dead = true;
        }
        probes.missed_probes += 1;
    }

    /// Returns whether to declare the machine dead, so that it is terminated with all its tasks. It is
    /// dead if two calls went unanswered with another machine in contact in between, or if there was no
    /// contact for longer than `2 * heartbeat_timeout` and this controller is not isolated. One missed
    /// call is not enough: when a partition begins, each machine misses a call before the isolation is
    /// detected.
    pub fn declared_dead(&self, heartbeat_timeout: Micros, now: Micros, isolated: bool) -> bool {
        let time_since_contact = self.time_since_contact(now);
        self.probes.confirmed_dead || (time_since_contact > 2 * heartbeat_timeout && !isolated)
    }

    /// Returns whether the machine's record should be set to lost. A booting machine is exempt unless
    /// it has tasks. Tasks are placed only on machines that are up, so a machine with tasks is up even
    /// if its owner ended before that was recorded. If it stayed booting, its tasks would have to wait
    /// until the lease expires.
    pub fn lost(&self, state: MachineState, has_tasks: bool, check: LivenessCheck) -> bool {
        (state != MachineState::Booting || has_tasks)
            && self.declared_dead(check.heartbeat_timeout, check.now, check.isolated)
    }

    /// Returns whether the worker's lease must have expired, counted from its last possible renewal. No
    /// other controller can have renewed it since the worker was fenced.
    pub fn lease_expired(&self, lease: Micros, now: Micros) -> bool {
        let Some(fenced_at) = self.heartbeat.fenced_at.filter(|_| self.fenced()) else {
            return false;
        };
        // An earlier owner may have renewed the lease until the worker received the current token.
        let last_renewed_at = self.heartbeat.last_answered_at.unwrap_or(0).max(fenced_at);
        now > last_renewed_at + with_clock_drift(lease) + LEASE_EXPIRY_MARGIN
    }
}

/// Returns whether a controller whose view contains every cancellation up to `cancellation_watermark`
/// may still answer heartbeats. The tasks of any later cancellation must have ended `cancel_within`
/// after its confirmation, and they live for `lease` after the last answer. There is no exception for
/// an outage of the state service: even if it is unreachable for all controllers now, another
/// controller may have confirmed a cancellation shortly before.
pub fn may_answer_heartbeats(
    lease: Micros,
    cancel_within: Micros,
    cancellation_watermark: Micros,
    now: Micros,
) -> bool {
    now.saturating_sub(cancellation_watermark) + with_clock_drift(lease) + CANCELLATION_MARGIN
        < cancel_within
}

/// Returns the time of the latest contact with any of these machines. A machine that was taken over and
/// has sent no message under this term does not count: it would hide the isolation of this controller.
pub fn latest_contact(machines: &BTreeMap<MachineId, WorkerState>) -> Micros {
    machines
        .values()
        .filter(|worker| worker.identity.description.is_some())
        .map(|worker| worker.heartbeat.last_contact_at)
        .max()
        .unwrap_or(0)
}

/// Returns whether this controller is isolated from the workers, rather than single machines being
/// dead: at least two machines are out of contact, and they are the majority of those that are up. An
/// unanswered call also counts as missing contact: a machine is declared dead some seconds after its
/// last message, which can be earlier than its next heartbeats are overdue. Machines that were declared
/// dead before the isolation is detected would be terminated with all their tasks.
pub fn isolated(
    machines: &BTreeMap<MachineId, WorkerState>,
    is_up: &dyn Fn(&MachineId) -> bool,
    heartbeat_interval: Micros,
    now: Micros,
) -> bool {
    let is_out_of_contact = |worker: &WorkerState| {
        worker.probes.last_failed_at > worker.heartbeat.last_contact_at
            || worker.time_since_contact(now) > heartbeat_interval * 3 / 2
    };
    // Avoids the lookup of each machine in the usual case of fewer than two machines out of contact.
    if machines
        .values()
        .filter(|w| is_out_of_contact(w))
        .take(2)
        .count()
        < 2
    {
        return false;
    }
    let (mut up_count, mut out_of_contact_count) = (0, 0);
    for (_, worker) in machines.iter().filter(|(id, _)| is_up(id)) {
        up_count += 1;
        out_of_contact_count += u32::from(is_out_of_contact(worker));
    }
    out_of_contact_count >= 2 && out_of_contact_count * 2 > up_count
}
