//! Linearizable reads, batched: one request to the service serves all callers that were waiting when it was
//! sent.

use super::{LOG_COMPACTED_STATUS, ReadTimes, WatchCache, sleep};
use crate::store::keys;
use crate::time::{MILLISECOND, Micros};
use crate::wire::WireError;

/// Pause between two linearizable reads. All callers that arrive during the pause share the next read.
const LINEARIZABLE_READ_PAUSE: Micros = 40 * MILLISECOND;

impl WatchCache {
    /// Waits for a read that started after the call, so that everything committed before the call is in the
    /// state. Returns false if the state is not loaded or the read fails.
    pub async fn linearizable_read(&self) -> bool {
        if !self.loaded.get() {
            return false;
        }
        let (result_sender, result) = async_channel::bounded(1);
        if self.read_requests.send(result_sender).await.is_err() {
            return false;
        }
        result.recv().await.unwrap_or(false)
    }

    /// Executes linearizable reads while the controller runs.
    pub async fn linearizable_read_loop(&self) {
        while let Ok(first) = self.read_request_queue.recv().await {
            let mut waiting_callers = vec![first];
            while let Ok(next) = self.read_request_queue.try_recv() {
                waiting_callers.push(next);
            }
            let succeeded = self.read_log().await;
            for caller in waiting_callers {
                // Fails if the caller was dropped. No result is needed then.
                let _ = caller.try_send(succeeded);
            }
            sleep(LINEARIZABLE_READ_PAUSE).await;
        }
    }

    /// Reads the log up to the current revision. Returns false if the request fails or the required part of
    /// the log was compacted.
    async fn read_log(&self) -> bool {
        let sent_at = self.clock.now();
        let after = self.state.borrow().revision;
        match self.client.watch(keys::ROOT_PREFIX, after, 0).await {
            Ok(log) => {
                let times = ReadTimes {
                    sent_at,
                    current_at: sent_at,
                };
                self.apply_log(&log, &times);
                self.linearizable_read_at.set(self.clock.now());
                true
            }
            Err(WireError::Status(LOG_COMPACTED_STATUS)) => {
                self.loaded.set(false);
                false
            }
            Err(_) => false,
        }
    }
}
