//! [`ChangeNotifier`]: wakes loops when there is something to look at.

use event_listener::{Event, EventListener};
use std::cell::Cell;

/// Notifies loops of changes: any number that listen, and one that asks.
#[derive(Default)]
pub struct ChangeNotifier {
    notified: Cell<bool>,
    event: Event,
}

impl ChangeNotifier {
    /// Wakes everyone who listens.
    pub fn notify(&self) {
        self.notified.set(true);
        self.event.notify(usize::MAX);
    }

    /// Whether there was a notification since this was called last. For one loop only.
    pub fn take_notified(&self) -> bool {
        self.notified.replace(false)
    }

    /// Waits for the next notification.
    pub fn listen(&self) -> EventListener {
        self.event.listen()
    }
}
