//! Time units, the monotonic clock and the wall clock. All times are in whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Point in time or duration, in whole microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Maximum result of `from_secs`, about 30 years: sums of such times do not overflow.
const MAX_MICROS: f64 = 1e15;

/// Converts seconds, the unit of the protocols, to microseconds. Negative and infinite values and NaN become zero.
pub fn from_secs(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds * 1e6).round().min(MAX_MICROS) as Micros
    } else {
        0
    }
}

/// Converts microseconds to seconds, for the protocols and for display.
pub fn to_secs(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

/// Converts microseconds to a [`Duration`].
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

/// Value of `Clock::now` at the start of the process, so that computing earlier times does not underflow.
const CLOCK_OFFSET: Micros = 1_000 * SECOND;

/// Monotonic clock that counts from the start of the process.
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

    /// Returns the microseconds since the start of the clock.
    pub fn elapsed(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns the current time, as microseconds since the start plus a fixed offset.
    pub fn now(&self) -> Micros {
        self.elapsed() + CLOCK_OFFSET
    }
}

/// Returns the time of the wall clock, in microseconds since the Unix epoch.
pub fn wall_clock_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|since_epoch| since_epoch.as_micros() as Micros)
        .unwrap_or(0)
}
