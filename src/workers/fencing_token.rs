//! Fencing tokens of workers. Pure.
//!
//! A worker refuses every message with a lower token than the highest that it has seen. The owner of a shard is
//! alone in its term, so it may raise the token of a machine within the term without a write.

use crate::store::cluster_state::ClusterState;
use std::fmt;

/// Number of bits of a token on the wire that hold its increments.
const INCREMENT_BITS: u32 = 32;
/// Largest number of increments within a term.
const MAX_INCREMENTS: u64 = (1 << INCREMENT_BITS) - 1;

/// Fencing token of a machine, ordered by term, then by increments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// Term of the machine's shard.
    pub term: u64,
    /// Number of times the owner raised the token of this machine within the term.
    pub increments: u64,
}

/// Form of a fencing token on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenFormat {
    /// The term alone, as controllers of earlier versions write and compare it.
    Term,
    /// The term in the upper bits, the increments in the lower ones.
    TermAndIncrements,
}

impl TokenFormat {
    /// Returns the format in use. A controller that owned a shard before the layout came into force has it in its
    /// view before any later owner claims the shard, so no owner uses a lower format than an earlier one.
    pub fn in_use(view: &ClusterState) -> TokenFormat {
        match view.layout {
            Some(layout) if layout.increments_tokens() => TokenFormat::TermAndIncrements,
            _ => TokenFormat::Term,
        }
    }
}

impl FencingToken {
    /// Returns the token in its form on the wire.
    pub fn to_wire(self, format: TokenFormat) -> u64 {
        match format {
            TokenFormat::Term => self.term,
            TokenFormat::TermAndIncrements => (self.term << INCREMENT_BITS) | self.increments,
        }
    }

    /// Returns the token that a worker reports, in either format: terms alone do not reach the upper bits.
    pub fn from_wire(value: u64) -> FencingToken {
        match value >> INCREMENT_BITS {
            0 => FencingToken {
                term: value,
                increments: 0,
            },
            term => FencingToken {
                term,
                increments: value & MAX_INCREMENTS,
            },
        }
    }

    /// Returns the next higher token of the same term, or `None` if there is none.
    pub fn incremented(self) -> Option<FencingToken> {
        (self.increments < MAX_INCREMENTS).then_some(FencingToken {
            term: self.term,
            increments: self.increments + 1,
        })
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.increments)
    }
}

#[cfg(test)]
mod tests;
