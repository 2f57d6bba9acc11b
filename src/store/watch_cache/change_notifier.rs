//! [`ChangeNotifier`]: wakes loops when the state has changed.

use event_listener::{Event, EventListener};
use std::cell::Cell;

/// Notifies loops of changes: any number of listeners, and one loop that polls a flag.
#[derive(Default)]
pub struct ChangeNotifier {
    notified: Cell<bool>,
    event: Event,
}

impl ChangeNotifier {
    /// Wakes all listeners and sets the flag for the polling loop.
    pub fn notify(&self) {
        self.notified.set(true);
        self.event.notify(usize::MAX);
    }

    /// Returns whether there was a notification since the last call. May be used by one loop only.
    pub fn take_notified(&self) -> bool {
        self.notified.replace(false)
    }

    /// Waits for the next notification.
    pub fn listen(&self) -> EventListener {
        self.event.listen()
    }
}
