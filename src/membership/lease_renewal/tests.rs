//! Tests of the leases of one process that need its private parts.

use crate::membership::Membership;

/// A shard is ours until its term is raised: not only while the lease under which we took it runs. What an
/// earlier process took is not.
#[test]
fn shards_are_driven_until_somebody_takes_them() {
    let membership = Membership::default();
    assert!(!membership.is_own_lease(7));
    membership.lease.set(Some(7));
    assert!(membership.is_own_lease(7) && !membership.is_own_lease(6));
    membership.lease.set(None);
    assert!(membership.is_own_lease(7), "nobody else has it yet");
    assert_eq!(membership.lease(), None, "but nothing is claimed with it");
    membership.lease.set(Some(9));
    assert!(
        membership.is_own_lease(7) && membership.is_own_lease(9) && !membership.is_own_lease(8)
    );
}
