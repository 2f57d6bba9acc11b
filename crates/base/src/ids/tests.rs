//! Unit tests of `ids.rs`.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
    /// Maps are looked up by text and by id. Guards against ids whose order or equality differs from that of their
    /// texts, e.g. when the texts share a prefix or contain zero bytes.
    #[test]
    fn id_order_and_equality_match_the_text(
        left in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
        right in "(aaaaaaaaaaaaaa)?[a\0b]{0,4}",
    ) {
        let (left_id, right_id) = (Id::from(left.as_str()), Id::from(right.as_str()));
        prop_assert_eq!(left_id.cmp(&right_id), left.cmp(&right));
        prop_assert_eq!(left_id == right_id, left == right);
    }
}
