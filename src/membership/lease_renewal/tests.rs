//! Tests of lease ownership that need private items.

use crate::membership::Membership;

/// A process drives a shard until the shard's term is raised, also after the lease expired under which it
/// claimed the shard. Shards claimed by an earlier process are not its own.
#[test]
fn granted_leases_remain_own_after_expiry() {
    let membership = Membership::default();
    assert!(!membership.was_lease_granted(7));
    membership.lease.set(Some(7));
    assert!(membership.was_lease_granted(7) && !membership.was_lease_granted(6));
    membership.lease.set(None);
    assert!(
        membership.was_lease_granted(7),
        "no other controller has raised the terms yet"
    );
    assert_eq!(
        membership.lease(),
        None,
        "an expired lease is not used for claims"
    );
    membership.lease.set(Some(9));
    assert!(
        membership.was_lease_granted(7)
            && membership.was_lease_granted(9)
            && !membership.was_lease_granted(8)
    );
}
