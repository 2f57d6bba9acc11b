//! An in-memory state service that asserts its limits at each write.

use super::Store;
use coppergw::wire::json_size;
use coppergw::wire::state::Transaction;

/// An in-memory state service with limits on values and transactions.
pub(crate) struct LimitedStore {
    inner: Store,
    /// Largest value in bytes, and most mutations of a transaction.
    pub(crate) limits: (usize, usize),
}

impl std::ops::Deref for LimitedStore {
    type Target = Store;
    fn deref(&self) -> &Store {
        &self.inner
    }
}

impl std::ops::DerefMut for LimitedStore {
    fn deref_mut(&mut self) -> &mut Store {
        &mut self.inner
    }
}

impl LimitedStore {
    /// Creates an empty state service with these limits.
    pub(crate) fn new(limits: (usize, usize)) -> LimitedStore {
        LimitedStore {
            inner: Store::default(),
            limits,
        }
    }

    /// Asserts the limits that the state service enforces with a 400 response. Exceeding one is always a
    /// fault of the controller.
    pub(crate) fn check_limits(&self, transaction: &Transaction) {
        let (max_value_bytes, max_mutations) = self.limits;
        assert!(
            transaction.mutations.len() <= max_mutations,
            "{} mutations",
            transaction.mutations.len()
        );
        assert!(
            transaction.preconditions.len() <= max_mutations * 4,
            "{} preconditions",
            transaction.preconditions.len()
        );
        assert!(
            transaction.largest_value_bytes() <= max_value_bytes,
            "a value of {} bytes",
            transaction.largest_value_bytes()
        );
        assert!(json_size(transaction) <= 64 * 1024);
    }
}
