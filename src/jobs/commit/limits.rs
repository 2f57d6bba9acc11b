//! Limits of one transaction, and the stored forms that it may write.

use crate::settings::PRECONDITIONS_PER_MUTATION;
use crate::store::cluster_state::Job;
use crate::time::Micros;

/// Largest number of preconditions, as a multiple of the largest number of mutations, of transactions that are merged
/// from several jobs or write blocks in plain form: a quarter of the preconditions is reserved for those that are added
/// after the check.
const RESERVED_PRECONDITIONS_PER_MUTATION: usize = 3;

/// Limits of a transaction, and the stored forms that may be written at present.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Largest number of mutations (puts and deletes).
    pub max_mutations: usize,
    /// Largest number of mutations when changes of several jobs share a transaction. Smaller than
    /// `max_mutations`: a transaction that exceeds the write budget by far delays the requests of users.
    pub max_merged_mutations: usize,
    /// Largest total size of the values in bytes, less a reserve.
    pub max_bytes: usize,
    /// Largest size of one value in bytes of its JSON form, less a reserve.
    pub max_value_bytes: usize,
    /// Whether the newer layout may be written, because every controller can read it.
    pub write_newer_layout: bool,
    /// Whether task blocks are written in packed form, and split if they are too large for a value.
    pub write_packed_blocks: bool,
    /// Wall-clock time at which the transactions are staged.
    pub wall_clock: Micros,
}

impl TransactionLimits {
    /// Returns the limits for writes of a job's blocks. Blocks that were split once are never written whole
    /// again: a write that is conditional on the block's key alone would replace parts that changed meanwhile.
    pub(super) fn for_job(self, job: &Job) -> TransactionLimits {
        TransactionLimits {
            write_packed_blocks: self.write_packed_blocks || job.has_split_blocks(),
            ..self
        }
    }

    /// Returns the largest number of preconditions of a transaction.
    pub(super) fn max_preconditions(&self) -> usize {
        self.max_mutations * PRECONDITIONS_PER_MUTATION
    }

    /// Returns the largest number of preconditions of a transaction to which more may still be added.
    pub(super) fn max_preconditions_with_reserve(&self) -> usize {
        self.max_mutations * RESERVED_PRECONDITIONS_PER_MUTATION
    }
}
