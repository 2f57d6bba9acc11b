//! Token bucket that limits requests and writes to the state service to this controller's share of the
//! service's rate limits.

use crate::time::{MILLISECOND, Micros};

/// Token bucket with a refill rate and a burst size of one second's refill, at least one token.
pub(super) struct TokenBucket {
    tokens_per_s: f64,
    /// Available tokens. Negative while callers wait for tokens taken in advance.
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(tokens_per_s: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_s,
            tokens: tokens_per_s.max(1.0),
            refilled_at: 0,
        }
    }

    /// Returns the capacity of the bucket.
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

    /// Takes tokens and returns the time to wait before using them. Callers are served in first-come,
    /// first-served order.
    pub(super) fn take(&mut self, count: f64, now: Micros) -> Micros {
        self.refill(now);
        self.tokens -= count;
        self.debt_delay()
    }

    /// Returns the time until the tokens that were taken in advance are refilled, plus one millisecond so
    /// that rounding never releases a caller too early.
    fn debt_delay(&self) -> Micros {
        if self.tokens >= 0.0 {
            0
        } else {
            (-self.tokens / self.tokens_per_s * 1e6) as Micros + MILLISECOND
        }
    }

    /// Returns the number of tokens that could be taken without waiting. Negative while other callers wait.
    pub(super) fn available(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Changes the refill rate from now on.
    pub(super) fn set_rate(&mut self, tokens_per_s: f64, now: Micros) {
        self.refill(now);
        self.tokens_per_s = tokens_per_s;
    }

    /// Returns the time that one more caller would have to wait.
    pub(super) fn delay(&mut self, now: Micros) -> Micros {
        self.refill(now);
        self.debt_delay()
    }
}
