//! What one transaction may hold, and the form of what it writes.

use crate::time::Micros;

/// Conditions that the state service takes for each mutation that it takes.
const PRECONDITIONS_PER_MUTATION: usize = 4;
/// The same for transactions that are filled up with several jobs, or written slot by slot: a quarter
/// stays free for what is added after the check.
const RESERVED_PRECONDITIONS_PER_MUTATION: usize = 3;

/// Limits of a transaction, and the stored forms that may be written at present.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Largest number of puts and deletes.
    pub max_mutations: usize,
    /// Largest number of mutations when changes of several jobs share a transaction. Smaller than
    /// `max_mutations`: a transaction that overdraws the write budget by much keeps users waiting.
    pub max_merged_mutations: usize,
    /// Largest size of all values together in bytes, some reserve deducted.
    pub max_bytes: usize,
    /// Largest size of one value in bytes of its JSON form, some reserve deducted.
    pub max_value_bytes: usize,
    /// Whether every controller reads the newer layout, so that it may be written.
    pub newer_layout: bool,
    /// Whether task blocks are written packed, and split where they outgrow a value.
    pub packed: bool,
    /// Wall-clock time of the staging.
    pub wall_clock: Micros,
}

impl TransactionLimits {
    /// Largest number of preconditions of a transaction.
    pub(super) fn max_preconditions(&self) -> usize {
        self.max_mutations * PRECONDITIONS_PER_MUTATION
    }

    /// Largest number of preconditions where more may still be added to the transaction.
    pub(super) fn max_preconditions_with_reserve(&self) -> usize {
        self.max_mutations * RESERVED_PRECONDITIONS_PER_MUTATION
    }
}
