//! The lease of this process in the state service, and the member key that is bound to it.
//!
//! An incarnation is a name and a lease: the service never grants a lease twice, so nothing that an earlier
//! process of the same name asked for can be taken for this one's. Each write is conditional on what it was
//! decided on. Requests of an earlier incarnation that arrive late, or twice, fail; where they come first,
//! the later incarnation sees that its key does not stand, and writes it again.
//!
//! Owns [`LeaseState`]; only the lease loop changes it.

use super::layout_agreement::LAYOUT_VERSION;
use super::records::Member;
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::to_value;
use foldhash::HashSet;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Pause before a lease is asked for again: short, as nothing can be claimed without one.
const LEASE_RETRY_INTERVAL: Micros = SECOND / 4;
/// Renewals within the lifetime of a lease: three may fail before it expires.
const RENEWALS_PER_TTL: u64 = 4;

/// One process that runs under a controller's name.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation<'a> {
    /// Name of the controller.
    pub node: &'a str,
    /// Its lease.
    pub lease: u64,
}

/// The leases of this process.
#[derive(Default)]
pub(super) struct LeaseState {
    /// The lease that runs, as far as we know.
    current: Cell<Option<u64>>,
    /// Every lease that this process was ever granted, the current one included.
    granted: RefCell<HashSet<u64>>,
}

impl LeaseState {
    pub(super) fn current(&self) -> Option<u64> {
        self.current.get()
    }

    /// Notes that a lease was granted, or that it expired.
    fn set(&self, lease: Option<u64>) {
        self.current.set(lease);
        self.granted.borrow_mut().extend(lease);
    }

    /// Whether shards taken under a lease are ours to drive. They are until somebody raises their terms, also
    /// after the lease expired and whether or not another was granted since: otherwise an outage that begins
    /// at that moment would leave their machines without anyone who answers them.
    pub(super) fn is_own(&self, lease: u64) -> bool {
        self.granted.borrow().contains(&lease)
    }
}

/// The write that makes an incarnation's member key say what it should, if it does not. A key that was written
/// may have been overwritten: a process that is back within a fraction of a second may meet a request of its
/// earlier incarnation, whose lease still runs, and the key disappears with that lease.
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

/// Outcome of one attempt to hold a lease.
enum LeaseAttempt {
    /// A lease was granted or renewed, or the renewal was not answered and it may still run.
    Held,
    /// None was granted.
    NotGranted,
    /// The lease that we had expired.
    Expired,
}

/// Outcome of one attempt to write the member key.
enum MemberKeyWrite {
    /// It stands, the lease was lost, or the outcome is unknown: looked at again in the next round.
    Finished,
    /// Somebody wrote it meanwhile: it must be written again at once.
    Overwritten,
}

impl Controller {
    /// Holds a lease, and the member key bound to it.
    pub async fn lease_loop(self: Rc<Controller>) {
        let ttl = self.policy.member_ttl;
        // What our key should say, while we hold a lease.
        let mut desired: Option<Member> = None;
        loop {
            match self.hold_lease(ttl, &mut desired).await {
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

    /// Renews the lease, or asks for one if there is none; a new one starts a new incarnation, whose member record
    /// goes to `desired`.
    async fn hold_lease(&self, ttl: Micros, desired: &mut Option<Member>) -> LeaseAttempt {
        let Some(lease) = self.membership.lease() else {
            if !self.watch_cache.loaded() {
                return LeaseAttempt::NotGranted;
            }
            let Ok(granted) = self.watch_cache.client().lease(ttl).await else {
                return LeaseAttempt::NotGranted;
            };
            self.membership.lease.set(Some(granted));
            let view = self.watch_cache.view();
            let previous = view.members.get(self.me());
            *desired = Some(Member::new_incarnation(
                previous,
                granted,
                LAYOUT_VERSION,
                wall(),
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

    /// Writes the member key if it does not say what it should.
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
            TransactionOutcome::Refused(400) => self.membership.lease.set(None),
            // A request of an earlier incarnation came late.
            TransactionOutcome::Conflict(_) => {
                self.watch_cache.linearizable_read().await;
                return MemberKeyWrite::Overwritten;
            }
            _ => {}
        }
        MemberKeyWrite::Finished
    }

    /// This process as an incarnation, while its lease runs as far as we know.
    pub(super) fn incarnation(&self) -> Option<Incarnation<'_>> {
        let lease = self.membership.lease()?;
        let node = self.me();
        Some(Incarnation { node, lease })
    }
}

#[cfg(test)]
mod tests;
