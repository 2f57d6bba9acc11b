//! Tests of `ids.rs` that need its private parts.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
    /// Maps are searched by text and by id: both must find the same, whatever prefix the texts share.
    #[test]
    fn ids_are_ordered_as_their_texts(
        left in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
        right in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
    ) {
        let (left_id, right_id) = (Id::from(left.as_str()), Id::from(right.as_str()));
        prop_assert_eq!(left_id.cmp(&right_id), left.cmp(&right));
        prop_assert_eq!(left_id == right_id, left == right);
    }
}
