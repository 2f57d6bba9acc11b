//! Scale-out requests: each is stored under a new name before it is sent, and resent under that name until
//! the cloud has answered, including requests of earlier leaders. The name makes the request idempotent: the
//! cloud gives the same response to the same name.

use super::LeaderState;
use crate::autoscaler::model::ScaleOutRequest;
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{SECOND, wall_clock_now};
use crate::wire::cloud::{MACHINES_PATH, MachineNames, ProvisionRequest};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::{encode, to_value};
use std::rc::Rc;

/// Maximum number of machines in one request, so that one transaction can hold preconditions on all their
/// records.
const MAX_MACHINES_PER_REQUEST: usize = 50;
/// Size of a stored request without the names of its machines.
const REQUEST_OVERHEAD_BYTES: usize = 256;
/// Upper bound of the size of a machine name in a stored request; the cloud's names are far shorter.
const MAX_MACHINE_NAME_BYTES: usize = 24;
/// Text in the cloud's error response if no such machine is currently available.
const NO_CAPACITY_TEXT: &str = "no capacity";

/// Outcome of sending a scale-out request to the cloud.
enum ProvisionOutcome {
    /// Machines were provisioned, possibly fewer than requested.
    Provisioned(Vec<String>),
    /// Final: no such machines are currently available, or the request is malformed.
    Refused,
    /// No response, or one that is not final: the request is sent again.
    Retry,
}

impl Controller {
    /// Returns the number of machines whose names fit into one stored scale-out request or termination batch.
    pub fn max_machines_per_request(&self) -> usize {
        let names = self
            .max_value_bytes()
            .saturating_sub(REQUEST_OVERHEAD_BYTES)
            / MAX_MACHINE_NAME_BYTES;
        names.clamp(1, MAX_MACHINES_PER_REQUEST)
    }

    /// Writes a scale-out request under a new name if this controller is still the leader.
    pub(super) async fn write_scale_out_request(&self, name: &str, request: &ScaleOutRequest) {
        let transaction = {
            let view = self.watch_cache.view();
            Transaction {
                preconditions: vec![
                    Precondition {
                        key: keys::scale_out_request(name),
                        version: 0,
                    },
                    view.precondition(keys::LEADER),
                ],
                mutations: vec![Mutation::Put {
                    key: keys::scale_out_request(name),
                    value: to_value(request),
                    lease: None,
                }],
            }
        };
        if let TransactionOutcome::Committed(_) = self.watch_cache.transaction(&transaction).await {
            tracing::info!(
                request = name,
                machine_type = request.machine_type,
                zone = request.zone,
                spot = request.spot,
                machines = request.count,
                "scale-out request written"
            );
        }
    }

    /// Sends every stored request that is not answered, including those of earlier leaders.
    pub(super) fn execute_scale_out_requests(self: &Rc<Controller>, state: &LeaderState) {
        let unanswered: Vec<(String, ScaleOutRequest)> = {
            let view = self.watch_cache.view();
            let outstanding = state.outstanding_requests.borrow();
            view.scale_out_requests
                .iter()
                .filter(|(name, request)| request.is_unanswered() && !outstanding.contains(*name))
                .map(|(name, request)| (name.clone(), request.clone()))
                .collect()
        };
        for (name, request) in unanswered {
            state.outstanding_requests.borrow_mut().insert(name.clone());
            let controller = self.clone();
            let outstanding = state.outstanding_requests.clone();
            self.executor
                .spawn(async move {
                    controller.execute_scale_out_request(&name, &request).await;
                    outstanding.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    /// Sends one request and writes the outcome; nothing is written if the request must be sent again.
    async fn execute_scale_out_request(&self, name: &str, request: &ScaleOutRequest) {
        let sent_at = wall_clock_now();
        let machines = match self.provision(name, request).await {
            ProvisionOutcome::Provisioned(machines) => machines,
            ProvisionOutcome::Refused => {
                self.cloud_request_state
                    .record_refusal(request, self.clock.now());
                Vec::new()
            }
            ProvisionOutcome::Retry => return self.sleep(SECOND).await,
        };
        if !machines.is_empty() && machines.len() < request.count as usize {
            self.cloud_request_state
                .record_refusal(request, self.clock.now());
        }
        let answered_request = (!machines.is_empty()).then(|| {
            to_value(&ScaleOutRequest {
                machines,
                requested_at: sent_at,
                ..request.clone()
            })
        });
        // If this write fails, the request is sent again under the same name.
        self.write_cloud_answer(keys::scale_out_request(name), answered_request)
            .await;
    }

    /// Sends one request to the cloud and classifies the response.
    async fn provision(&self, name: &str, request: &ScaleOutRequest) -> ProvisionOutcome {
        let body = encode(&ProvisionRequest {
            request: name.to_string(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            count: request.count,
        });
        let answer = self.post_to_cloud(MACHINES_PATH, body).await;
        let Ok(answer) = answer else {
            return ProvisionOutcome::Retry;
        };
        match answer.status {
            200 => answer
                .ok::<MachineNames>()
                .map_or(ProvisionOutcome::Retry, |names| {
                    ProvisionOutcome::Provisioned(names.machines)
                }),
            503 if answer.error_reason().contains(NO_CAPACITY_TEXT) => ProvisionOutcome::Refused,
            400 => {
                tracing::warn!(
                    request = name,
                    "cloud rejected a scale-out request as malformed"
                );
                ProvisionOutcome::Refused
            }
            _ => ProvisionOutcome::Retry,
        }
    }

    /// Updates a request or batch after the cloud's final response, or deletes it if `value` is `None`. The
    /// precondition is that the key is unchanged since the cluster state in the watch cache.
    pub(super) async fn write_cloud_answer(&self, key: String, value: Option<ciborium::Value>) {
        let preconditions = vec![self.watch_cache.view().precondition(key.as_str())];
        let mutation = match value {
            Some(value) => Mutation::Put {
                key,
                value,
                lease: None,
            },
            None => Mutation::Delete { key },
        };
        let transaction = Transaction {
            preconditions,
            mutations: vec![mutation],
        };
        if !matches!(
            self.watch_cache.transaction(&transaction).await,
            TransactionOutcome::Committed(_)
        ) {
            self.watch_cache.linearizable_read().await;
            self.sleep(SECOND / 4).await;
        }
    }
}
