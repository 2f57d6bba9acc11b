//! Tests of the shard assignment.

use super::*;
use crate::membership::records::STABILISATION_TIME;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn shards_are_spread_over_live_members_and_reassignment_is_stable(
        owners in proptest::collection::vec(0usize..4, SHARD_COUNT as usize),
        alive in proptest::collection::vec(any::<bool>(), 3),
        unreachable in proptest::collection::vec(any::<bool>(), 3),
    ) {
        let names = ["a", "b", "c", "gone"];
        let shards: BTreeMap<u32, Shard> = owners.iter().enumerate()
            .map(|(number, owner)| (
                number as u32, Shard { owner: names[*owner].into(), lease: *owner as u64, term: 3 }
            )).collect();
        let members: BTreeMap<String, Member> = (0..3).filter(|index| alive[*index])
            .map(|index| (names[index].to_string(), Member {
                lease: index as u64, joined_at: 0, unreachable_by_workers: unreachable[index], layout_version: 0, restart_count: 0
            })).collect();
        let assigned = assign_shards(&shards, &members, STABILISATION_TIME);
        prop_assert_eq!(assigned.len(), if members.is_empty() { 0 } else { SHARD_COUNT as usize });
        prop_assert!(assigned.values().all(|owner| members.contains_key(owner)));
        let mut load: BTreeMap<&String, i32> = members.iter()
            .filter(|(_, member)| !member.unreachable_by_workers).map(|(name, _)| (name, 0)).collect();
        for owner in assigned.values() { if let Some(count) = load.get_mut(owner) { *count += 1; } }
        if let (Some(lowest), Some(highest)) = (load.values().min(), load.values().max()) {
            prop_assert!(highest - lowest <= 1);
        }
        // Assigning again after the result was applied changes nothing.
        let applied: BTreeMap<u32, Shard> = assigned.iter()
            .map(|(number, owner)| (
                *number, Shard { owner: owner.clone(), lease: members[owner].lease, term: 4 }
            )).collect();
        prop_assert_eq!(assign_shards(&applied, &members, STABILISATION_TIME), assigned);
    }
}
