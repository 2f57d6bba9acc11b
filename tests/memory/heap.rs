//! Measurement of the heap of the test process.

use cap::Cap;
use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes in a megabyte as process status counts it. The memory budget takes the smaller decimal one.
pub(crate) const MEGABYTE: usize = 1 << 20;

/// Memory of the controllers of the smallest deployments, in megabytes.
pub(crate) const CONTROLLER_MEMORY_MB: usize = 104;

/// Held while a test measures, because the heap is that of all tests of the process.
static MEASUREMENT: Mutex<()> = Mutex::new(());

/// Growth of the heap since the start of a measurement. Other measurements wait until it is dropped.
pub(crate) struct HeapGrowth {
    allocated_before: usize,
    _guard: MutexGuard<'static, ()>,
}

impl HeapGrowth {
    /// Starts a measurement.
    pub(crate) fn start() -> HeapGrowth {
        let guard = MEASUREMENT.lock().unwrap_or_else(PoisonError::into_inner);
        HeapGrowth {
            allocated_before: ALLOCATOR.allocated(),
            _guard: guard,
        }
    }

    /// Returns the growth in bytes.
    pub(crate) fn bytes(&self) -> usize {
        ALLOCATOR.allocated().saturating_sub(self.allocated_before)
    }

    /// Returns the growth in whole megabytes.
    pub(crate) fn megabytes(&self) -> usize {
        self.bytes() / MEGABYTE
    }
}
