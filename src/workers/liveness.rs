//! What silence of workers means: dead machines, our own isolation, expired leases. Pure.
//!
//! Silence alone proves nothing about tasks; only an expired lease of a worker that is known to hold
//! our token does.

use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::time::{Micros, SECOND};
use std::collections::BTreeMap;

/// What is left of the time to cancel when the last task that we kept alive must have ended by its
/// lease: allowance for clocks that drift apart and timers that fire late.
const CANCELLATION_MARGIN: Micros = 2 * SECOND;

/// Allowance when a lease is taken for expired, beside its drift: for timers that fire late.
const LEASE_MARGIN: Micros = SECOND;

/// A lease as long as the worker's clock may take for it: clocks drift by at most one in a thousand.
fn with_drift(lease: Micros) -> Micros {
    lease + lease / 1000
}

/// By what a worker's silence is judged.
#[derive(Clone, Copy, Debug)]
pub struct LivenessCheck {
    /// Half of the silence after which a machine is declared dead although no call to it went unanswered.
    pub lost_after: Micros,
    /// The time.
    pub now: Micros,
    /// Whether it is us whom workers cannot reach ([`isolated`]).
    pub isolated: bool,
}

impl WorkerState {
    /// Records a call that got no answer. `latest_contact_of_any`: when any machine had been in contact
    /// last before the call was sent. Later contact counts for nothing: when a network partition
    /// heals, delayed messages of one machine arrive before another's.
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

    /// Whether to declare the machine dead, and have it terminated with all that runs there: two calls
    /// went unanswered with another machine in contact in between, or the silence is so long that
    /// there is nothing to wait for, unless it is us who are cut off (`isolated`). One missed call
    /// proves nothing: when a partition begins each machine misses one before it is known that all do.
    pub fn declared_dead(&self, lost_after: Micros, now: Micros, isolated: bool) -> bool {
        let time_since_contact = self.time_since_contact(now);
        self.probes.confirmed_dead || (time_since_contact > 2 * lost_after && !isolated)
    }

    /// Whether the machine's record should say that it is lost. One that boots has nothing to lose, but
    /// tasks are placed only on machines that are up: one that has some is up, although its owner
    /// ended before that was written. Left as booting, its tasks would wait for the lease to expire.
    pub fn lost(&self, state: MachineState, has_tasks: bool, check: LivenessCheck) -> bool {
        (state != MachineState::Booting || has_tasks)
            && self.declared_dead(check.lost_after, check.now, check.isolated)
    }

    /// Whether the worker's lease must have expired: nobody can have renewed it since we did.
    pub fn lease_expired(&self, lease: Micros, now: Micros) -> bool {
        let Some(fenced_at) = self.heartbeat.fenced_at.filter(|_| self.fenced()) else {
            return false;
        };
        // An older owner may have answered until the worker saw our token.
        let last_renewed_at = self.heartbeat.last_answered_at.unwrap_or(0).max(fenced_at);
        now > last_renewed_at + with_drift(lease) + LEASE_MARGIN
    }
}

/// Whether heartbeats may still be answered by a controller that knows of every cancellation up to
/// `cancellation_watermark`. The tasks of any later one must be gone `cancel_within` after it was
/// confirmed, and live for `lease` after our last answer. There is no exception: that the state
/// service is unreachable for all now does not mean that it was when somebody last confirmed one.
pub fn may_answer(
    lease: Micros,
    cancel_within: Micros,
    cancellation_watermark: Micros,
    now: Micros,
) -> bool {
    now.saturating_sub(cancellation_watermark) + with_drift(lease) + CANCELLATION_MARGIN
        < cancel_within
}

/// When any of these machines was last in contact. One that was only taken over by us does not count:
/// it has sent nothing under this term, and would hide that it is us who are cut off.
pub fn latest_contact(machines: &BTreeMap<MachineId, WorkerState>) -> Micros {
    machines
        .values()
        .filter(|worker| worker.identity.description.is_some())
        .map(|worker| worker.heartbeat.last_contact_at)
        .max()
        .unwrap_or(0)
}

/// Whether it is us whom workers cannot reach, rather than single machines that died: more than one
/// is silent, and they are the majority of those that are up. An unanswered call counts as silence: a
/// machine is declared dead some seconds after its last message, which can be sooner than its next
/// heartbeats are late. Machines that are declared dead before we know that we are isolated would be
/// terminated with all that runs there.
pub fn isolated(
    machines: &BTreeMap<MachineId, WorkerState>,
    is_up: &dyn Fn(&MachineId) -> bool,
    heartbeat_interval: Micros,
    now: Micros,
) -> bool {
    let is_silent = |worker: &WorkerState| {
        worker.probes.last_failed_at > worker.heartbeat.last_contact_at
            || worker.time_since_contact(now) > heartbeat_interval * 3 / 2
    };
    // Cheap in the usual case: no machine needs to be looked up while fewer than two are silent.
    if machines.values().filter(|w| is_silent(w)).take(2).count() < 2 {
        return false;
    }
    let (mut up, mut silent) = (0, 0);
    for (_, worker) in machines.iter().filter(|(id, _)| is_up(id)) {
        up += 1;
        silent += u32::from(is_silent(worker));
    }
    silent >= 2 && silent * 2 > up
}
