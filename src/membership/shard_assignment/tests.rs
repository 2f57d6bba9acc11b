//! Tests of the assignment of shards.

use super::*;
use crate::membership::records::STABILISATION_TIME;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn every_shard_has_a_live_owner_and_live_owners_keep_theirs(
        owners in proptest::collection::vec(0usize..4, SHARD_COUNT as usize),
        alive in proptest::collection::vec(any::<bool>(), 3),
        unreachable in proptest::collection::vec(any::<bool>(), 3),
    ) {
        let names = ["a", "b", "c", "gone"];
        let shards: BTreeMap<u32, Shard> = owners.iter().enumerate()
            .map(|(i, o)| (i as u32, Shard { owner: names[*o].into(), lease: *o as u64, term: 3 })).collect();
        let members: BTreeMap<String, Member> = (0..3).filter(|i| alive[*i])
            .map(|i| (names[i].to_string(), Member { lease: i as u64, since: 0, unreachable_by_workers: unreachable[i], version: 0, restart_count: 0 })).collect();
        let out = assign_shards(&shards, &members, STABILISATION_TIME);
        prop_assert_eq!(out.len(), if members.is_empty() { 0 } else { SHARD_COUNT as usize });
        prop_assert!(out.values().all(|o| members.contains_key(o)));
        let mut load: BTreeMap<&String, i32> = members.iter().filter(|(_, m)| !m.unreachable_by_workers).map(|(n, _)| (n, 0)).collect();
        for o in out.values() { if let Some(l) = load.get_mut(o) { *l += 1; } }
        if let (Some(lo), Some(hi)) = (load.values().min(), load.values().max()) {
            prop_assert!(hi - lo <= 1);
        }
        // Asking again after the answer was carried out changes nothing.
        let again: BTreeMap<u32, Shard> = out.iter()
            .map(|(n, o)| (*n, Shard { owner: o.clone(), lease: members[o].lease, term: 4 })).collect();
        prop_assert_eq!(assign_shards(&again, &members, STABILISATION_TIME), out);
    }
}
