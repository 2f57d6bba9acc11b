//! Linearizable reads: one request to the service serves everyone who asked before it began.

use super::{LOG_COMPACTED, ReadTimes, WatchCache, sleep};
use crate::store::keys;
use crate::time::{MILLI, Micros};
use crate::wire::WireError;

/// Pause between two linearizable reads: all who ask meanwhile share the next one.
const LINEARIZABLE_READ_PAUSE: Micros = 40 * MILLI;

impl WatchCache {
    /// Waits for a read that began after the call: everything committed before the call is then in the
    /// state. False if the state service does not answer.
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

    /// Carries out linearizable reads for as long as the controller runs.
    pub async fn linearizable_read_loop(&self) {
        while let Ok(first) = self.read_request_queue.recv().await {
            let mut waiting = vec![first];
            while let Ok(next) = self.read_request_queue.try_recv() {
                waiting.push(next);
            }
            let answered = self.read_log().await;
            for caller in waiting {
                // A caller that is gone needs no result.
                let _ = caller.try_send(answered);
            }
            sleep(LINEARIZABLE_READ_PAUSE).await;
        }
    }

    /// Reads the log up to now; false if the state service does not answer.
    async fn read_log(&self) -> bool {
        let begun = self.clock.now();
        let after = self.state.borrow().revision;
        match self.client.watch(keys::ALL, after, 0).await {
            Ok(log) => {
                let times = ReadTimes {
                    begun,
                    current_at: begun,
                };
                self.apply_log(&log, &times);
                self.linearizable_read_at.set(self.clock.now());
                true
            }
            Err(WireError::Status(LOG_COMPACTED)) => {
                self.loaded.set(false);
                false
            }
            Err(_) => false,
        }
    }
}
