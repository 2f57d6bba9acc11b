//! Tests of `ids.rs` that need its private parts.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
    /// Maps are asked by text and by name: both must find the same, whatever the texts share.
    #[test]
    fn names_are_ordered_as_their_texts(
        a in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
        b in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
    ) {
        let (x, y) = (Id::from(a.as_str()), Id::from(b.as_str()));
        prop_assert_eq!(x.cmp(&y), a.cmp(&b));
        prop_assert_eq!(x == y, a == b);
    }
}
