//! Time. Everything inside the program counts whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a length of time, in whole microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Seconds, as the wire writes them, to microseconds. Nonsense becomes zero.
pub fn from_secs(s: f64) -> Micros {
    if s.is_finite() && s > 0.0 {
        (s * 1e6).round().min(1e15) as Micros
    } else {
        0
    }
}

/// Microseconds to seconds, for the wire and for people.
pub fn to_secs(us: Micros) -> f64 {
    us as f64 / 1e6
}

/// Microseconds to the standard library's duration.
pub fn dur(us: Micros) -> Duration {
    Duration::from_micros(us)
}

/// The steady clock, counted from the start of the process.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting. The offset keeps "long ago" representable.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Microseconds since the start.
    pub fn age(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Microseconds since the start, plus a fixed 1,000 s so that subtracting is safe.
    pub fn now(&self) -> Micros {
        self.age() + 1_000 * SECOND
    }
}

/// Time of day, in microseconds.
pub fn wall() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|d| d.as_micros() as Micros)
        .unwrap_or(0)
}
