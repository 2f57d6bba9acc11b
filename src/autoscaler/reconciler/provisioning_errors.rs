//! What the cloud refused lately, and the names of requests to it. Owned by the controller for as long as
//! its process lives, whether it leads or not.

use crate::autoscaler::model::ScaleOutRequest;
use crate::autoscaler::scale_out::InstanceKind;
use crate::time::{Micros, SECOND};
use foldhash::HashMap;
use std::cell::{Cell, RefCell};

/// For so long a kind of machine that the cloud refused is not asked for again: capacity seldom comes back
/// sooner, and another zone or type serves in the meantime.
const RETRY_DELAY: Micros = 8 * SECOND;

/// Kinds of machines that the cloud refused, and until when they are not tried.
#[derive(Default)]
pub struct ProvisioningErrors {
    refused_until: RefCell<HashMap<InstanceKind, Micros>>,
    /// Number of the last request to the cloud. It never starts again while the process lives: a controller
    /// that loses the lead and wins it back under the same lease would send a name that the cloud has
    /// answered, and be given machines that are long gone.
    last_request_number: Cell<u64>,
}

impl ProvisioningErrors {
    /// Whether the cloud refused such machines a short time ago.
    pub(super) fn refused(&self, machine_type: &str, zone: &str, spot: bool, now: Micros) -> bool {
        let kind = InstanceKind {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        };
        self.refused_until
            .borrow()
            .get(&kind)
            .is_some_and(|until| *until > now)
    }

    /// The next name of a request of this controller under this lease.
    pub(super) fn next_name(&self, controller: &str, lease: u64) -> String {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        format!("{controller}-{lease}-{number}")
    }

    /// Notes that the cloud did not provide all that a request asked for.
    pub(super) fn refuse(&self, request: &ScaleOutRequest, now: Micros) {
        self.refused_until
            .borrow_mut()
            .insert(InstanceKind::of_request(request), now + RETRY_DELAY);
    }
}
