//! The lease of this process in the state service, and the member key that is bound to it.
//!
//! An incarnation is identified by a controller name and a lease. The service never grants a lease twice,
//! so a request of an earlier process of the same name cannot be mistaken for one of this process. Each
//! write is conditional on the state on which it was decided, so delayed or duplicate requests of an
//! earlier incarnation fail. If such a request is applied first, the later incarnation detects that its key
//! is not in place and writes it again.
//!
//! Owns [`LeaseState`], which only the lease loop modifies.

use super::layout_agreement::LAYOUT_VERSION;
use super::records::Member;
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall_clock_now};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::to_value;
use foldhash::HashSet;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Pause before a lease is requested again; short because nothing can be claimed without one.
const LEASE_RETRY_INTERVAL: Micros = SECOND / 4;
/// Renewals attempted within the lifetime of a lease: three may fail before it expires.
const RENEWALS_PER_TTL: u64 = 4;

/// One process that runs under a controller's name.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation<'a> {
    /// Name of the controller.
    pub node: &'a str,
    /// Lease granted to the process.
    pub lease: u64,
}

/// Leases of this process.
#[derive(Default)]
pub(super) struct LeaseState {
    /// The current lease, which this process considers valid.
    current: Cell<Option<u64>>,
    /// All leases granted to this process, including the current one.
    granted: RefCell<HashSet<u64>>,
}

impl LeaseState {
    pub(super) fn current(&self) -> Option<u64> {
        self.current.get()
    }

    /// Records that a lease was granted, or that the current one expired.
    fn set(&self, lease: Option<u64>) {
        self.current.set(lease);
        self.granted.borrow_mut().extend(lease);
    }

    /// Returns whether a lease was granted to this process at any time. The process drives the shards that
    /// it claimed under such a lease until another incarnation raises their terms, even after the lease
    /// expired and whether or not a new one was granted: otherwise, if a state service outage began at that
    /// moment, no controller would answer the heartbeats of their machines.
    pub(super) fn was_granted(&self, lease: u64) -> bool {
        self.granted.borrow().contains(&lease)
    }
}

/// Returns the write that sets an incarnation's member key to the desired record, if the key differs from
/// it. A key that was already written may have been overwritten: if a process restarts within a fraction of
/// a second, a delayed request of its earlier incarnation, whose lease has not expired, may still be
/// applied, and the key is deleted when that lease expires.
pub fn claim_member_key(
    view: &ClusterState,
    incarnation: Incarnation<'_>,
    desired: &Member,
) -> Option<Transaction> {
    (view.members.get(incarnation.node) != Some(desired)).then(|| {
        let key = keys::member(incarnation.node);
        Transaction {
            preconditions: vec![view.precondition(key.as_str())],
            mutations: vec![Mutation::Put {
                key,
                value: to_value(desired),
                lease: Some(incarnation.lease),
            }],
        }
    })
}

/// Outcome of one attempt to obtain or renew a lease.
enum LeaseAttempt {
    /// A lease was granted or renewed, or the renewal got no response and the lease may still be valid.
    Held,
    /// No lease was granted.
    NotGranted,
    /// The current lease expired.
    Expired,
}

/// Outcome of one attempt to write the member key.
enum MemberKeyWrite {
    /// The key is as desired, the lease was lost, or the outcome is unknown: checked again in the next
    /// round.
    Finished,
    /// Another request wrote the key concurrently: it must be written again immediately.
    Overwritten,
}

impl Controller {
    /// Maintains a lease and the member key that is bound to it.
    pub async fn lease_loop(self: Rc<Controller>) {
        let ttl = self.policy.member_ttl;
        // Record that the member key should contain while a lease is held.
        let mut desired: Option<Member> = None;
        loop {
            match self.acquire_or_renew_lease(ttl, &mut desired).await {
                LeaseAttempt::Held => {}
                LeaseAttempt::NotGranted => {
                    self.sleep(LEASE_RETRY_INTERVAL).await;
                    continue;
                }
                LeaseAttempt::Expired => continue,
            }
            let (Some(incarnation), Some(member)) = (self.incarnation(), &mut desired) else {
                continue;
            };
            member.unreachable_by_workers = self.membership.worker_reachability.is_unreachable();
            match self.write_member_key(incarnation, member).await {
                MemberKeyWrite::Finished => {}
                MemberKeyWrite::Overwritten => continue,
            }
            self.advance_layout().await;
            self.sleep(ttl / RENEWALS_PER_TTL).await;
        }
    }

    /// Renews the lease, or requests one if there is none. A new lease starts a new incarnation, whose
    /// member record is stored in `desired`.
    async fn acquire_or_renew_lease(
        &self,
        ttl: Micros,
        desired: &mut Option<Member>,
    ) -> LeaseAttempt {
        let Some(lease) = self.membership.lease() else {
            if !self.watch_cache.loaded() {
                return LeaseAttempt::NotGranted;
            }
            let Ok(granted) = self.watch_cache.client().lease(ttl).await else {
                return LeaseAttempt::NotGranted;
            };
            self.membership.lease.set(Some(granted));
            let view = self.watch_cache.view();
            let previous = view.members.get(self.node_name());
            *desired = Some(Member::new_incarnation(
                previous,
                granted,
                LAYOUT_VERSION,
                wall_clock_now(),
            ));
            return LeaseAttempt::Held;
        };
        match self.watch_cache.client().renew(lease).await {
            Ok(true) => LeaseAttempt::Held,
            Ok(false) => {
                tracing::info!(lease, "member lease expired");
                self.membership.lease.set(None);
                LeaseAttempt::Expired
            }
            Err(error) => {
                tracing::debug!(lease, %error, "lease renewal failed");
                LeaseAttempt::Held
            }
        }
    }

    /// Writes the member key if it differs from the desired record.
    async fn write_member_key(
        &self,
        incarnation: Incarnation<'_>,
        desired: &Member,
    ) -> MemberKeyWrite {
        let claim = claim_member_key(&self.watch_cache.view(), incarnation, desired);
        let Some(claim) = claim else {
            return MemberKeyWrite::Finished;
        };
        match self.watch_cache.transaction(&claim).await {
            TransactionOutcome::Rejected(400) => self.membership.lease.set(None),
            // A delayed request of an earlier incarnation was applied.
            TransactionOutcome::Conflict(_) => {
                self.watch_cache.linearizable_read().await;
                return MemberKeyWrite::Overwritten;
            }
            _ => {}
        }
        MemberKeyWrite::Finished
    }

    /// Returns this process as an incarnation, while it considers its lease valid.
    pub(super) fn incarnation(&self) -> Option<Incarnation<'_>> {
        let lease = self.membership.lease()?;
        let node = self.node_name();
        Some(Incarnation { node, lease })
    }
}

#[cfg(test)]
mod tests;
