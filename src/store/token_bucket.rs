//! Token bucket: keeps the requests and writes to the state service within this controller's share of the
//! service's limits.

use crate::time::{MILLI, Micros};

/// A rate that refills with time, with a burst of one second's worth and at least one token.
pub(super) struct TokenBucket {
    tokens_per_s: f64,
    /// Tokens left; negative while callers wait for theirs.
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(tokens_per_s: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_s,
            tokens: tokens_per_s.max(1.0),
            refilled_at: 0,
        }
    }

    /// The most that is ever in it.
    pub(super) fn burst(&self) -> f64 {
        self.tokens_per_s.max(1.0)
    }

    fn refill(&mut self, now: Micros) {
        if self.refilled_at > 0 {
            let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
            self.tokens += elapsed_s * self.tokens_per_s;
        }
        self.refilled_at = now;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes tokens and returns how long to wait before using them. Whoever asks first is served first.
    pub(super) fn take(&mut self, count: f64, now: Micros) -> Micros {
        self.refill(now);
        self.tokens -= count;
        self.debt_delay()
    }

    /// How long until the tokens that were taken in advance are refilled, rounded up by a millisecond so
    /// that no caller comes a moment early.
    fn debt_delay(&self) -> Micros {
        if self.tokens >= 0.0 {
            0
        } else {
            (-self.tokens / self.tokens_per_s * 1e6) as Micros + MILLI
        }
    }

    /// Tokens that could be taken without waiting; negative while others wait.
    pub(super) fn available(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Sets another rate from now on.
    pub(super) fn set_rate(&mut self, tokens_per_s: f64, now: Micros) {
        self.refill(now);
        self.tokens_per_s = tokens_per_s;
    }

    /// How long one more caller would have to wait.
    pub(super) fn delay(&mut self, now: Micros) -> Micros {
        self.refill(now);
        self.debt_delay()
    }
}
