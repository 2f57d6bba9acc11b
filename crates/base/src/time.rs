//! Time: units, the monotonic clock and the wall clock. The program counts whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a length of time, in whole microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Longest time that `from_secs` gives, some 30 years: sums of such times do not overflow.
const MAX_MICROS: f64 = 1e15;

/// Seconds, as the protocols write them, to microseconds. What is negative, infinite or not a number becomes zero.
pub fn from_secs(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * 1e6).round().min(MAX_MICROS) as Micros
    } else {
        0
    }
}

/// Microseconds to seconds, for the protocols and for people.
pub fn to_secs(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

/// Microseconds to the standard library's duration.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

/// Value of `Clock::now` at the start: times before the start can be computed without underflow.
const CLOCK_OFFSET: Micros = 1_000 * SECOND;

/// The monotonic clock, counted from the start of the process.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Microseconds since the start.
    pub fn age(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The present time, as microseconds since the start plus a fixed offset.
    pub fn now(&self) -> Micros {
        self.age() + CLOCK_OFFSET
    }
}

/// The wall clock: microseconds since the Unix epoch.
pub fn wall() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|since_epoch| since_epoch.as_micros() as Micros)
        .unwrap_or(0)
}
