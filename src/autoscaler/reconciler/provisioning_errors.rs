//! Instance kinds that the cloud recently refused, and the sequence of request names. This state is kept for
//! the lifetime of the controller process, regardless of leadership.

use crate::autoscaler::model::ScaleOutRequest;
use crate::autoscaler::scale_out::InstanceKind;
use crate::time::{Micros, SECOND};
use foldhash::HashMap;
use std::cell::{Cell, RefCell};

/// Time for which an instance kind that the cloud refused is not requested again. Capacity rarely becomes
/// available sooner, and another zone or type is used until then.
const REFUSED_KIND_RETRY_DELAY: Micros = 8 * SECOND;

/// Recently refused instance kinds, and the sequence number of requests to the cloud.
#[derive(Default)]
pub struct CloudRequestState {
    /// Time until which each refused instance kind is not requested.
    refused_until: RefCell<HashMap<InstanceKind, Micros>>,
    /// Sequence number of the last request to the cloud. It is not reset during the lifetime of the process:
    /// a controller that loses leadership and regains it under the same lease would otherwise reuse a name
    /// that the cloud has already answered, and receive machines that were terminated long ago.
    last_request_number: Cell<u64>,
}

impl CloudRequestState {
    /// Returns whether the cloud recently refused this instance kind.
    pub(super) fn recently_refused(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> bool {
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

    /// Returns the name of the next request of this controller under this lease.
    pub(super) fn next_request_name(&self, controller: &str, lease: u64) -> String {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        format!("{controller}-{lease}-{number}")
    }

    /// Records that the cloud did not provision all machines of a request.
    pub(super) fn record_refusal(&self, request: &ScaleOutRequest, now: Micros) {
        self.refused_until.borrow_mut().insert(
            InstanceKind::of_request(request),
            now + REFUSED_KIND_RETRY_DELAY,
        );
    }
}
