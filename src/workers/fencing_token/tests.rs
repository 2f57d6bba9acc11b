//! Tests of the form of fencing tokens on the wire.

use super::*;
use crate::membership::{LAYOUT_VERSION, LayoutVersion};
use crate::store::keys;
use crate::wire::to_value;

const FORMATS: [TokenFormat; 2] = [TokenFormat::Term, TokenFormat::TermAndIncrements];

fn token(term: u64, increments: u64) -> FencingToken {
    FencingToken { term, increments }
}

#[test]
fn tokens_on_the_wire_are_in_the_order_of_terms_and_increments() {
    let tokens = [
        token(1, 0),
        token(1, 1),
        token(1, MAX_INCREMENTS),
        token(2, 0),
        token(900, 7),
    ];
    let wire = tokens.map(|token| token.to_wire(TokenFormat::TermAndIncrements));
    assert!(wire.is_sorted());
    assert_eq!(wire.map(FencingToken::from_wire), tokens);
}

#[test]
fn term_alone_is_read_and_is_lower_than_any_token_with_increments() {
    let term_alone = token(900, 0).to_wire(TokenFormat::Term);
    assert_eq!(term_alone, 900);
    assert_eq!(FencingToken::from_wire(term_alone), token(900, 0));
    assert!(term_alone < token(1, 0).to_wire(TokenFormat::TermAndIncrements));
    for format in FORMATS {
        assert!(term_alone < token(901, 0).to_wire(format));
    }
}

#[test]
fn last_increment_of_a_term_is_followed_by_none() {
    assert_eq!(token(3, 4).incremented(), Some(token(3, 5)));
    assert_eq!(token(3, MAX_INCREMENTS).incremented(), None);
}

#[test]
fn increments_are_used_only_from_the_layout_that_adds_them() {
    let mut view = ClusterState::default();
    assert_eq!(TokenFormat::in_use(&view), TokenFormat::Term);
    for (layout_version, format) in [
        (LAYOUT_VERSION - 1, FORMATS[0]),
        (LAYOUT_VERSION, FORMATS[1]),
    ] {
        let layout = to_value(&LayoutVersion { layout_version });
        view.put(keys::LAYOUT, &layout, u64::from(layout_version));
        assert_eq!(TokenFormat::in_use(&view), format);
    }
}
