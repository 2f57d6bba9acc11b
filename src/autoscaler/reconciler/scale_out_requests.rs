//! Scale-out requests: written under a new name before they are sent, and sent under that name until the
//! cloud has answered, also those of earlier leaders. The cloud gives the same answer to the same name.

use super::{CLOUD_TIMEOUT, LeaderState};
use crate::autoscaler::model::ScaleOutRequest;
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{SECOND, wall};
use crate::wire::cloud::{MACHINES_PATH, MachineNames, ProvisionRequest};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::{encode, to_value};
use http_types::Method;
use std::rc::Rc;

/// Machines in one request: one transaction must be able to hold conditions on all their records.
const MACHINES_PER_REQUEST: usize = 50;
/// Bytes of a stored request beside the names of its machines.
const REQUEST_BYTES: usize = 256;
/// Bytes of a machine's name in a stored request; the cloud's names are far shorter.
const MACHINE_NAME_BYTES: usize = 24;
/// How the cloud's answer says that it has no such machine at present.
const NO_CAPACITY: &str = "no capacity";

/// The cloud's answer to a scale-out request.
enum ProvisionOutcome {
    /// Machines were provisioned, perhaps fewer than asked for.
    Provisioned(Vec<String>),
    /// Final: there are no such machines at present, or the request is malformed.
    Refused,
    /// No answer, or one that is not final: to be sent again.
    Retry,
}

impl Controller {
    /// Machines whose names fit into one stored scale-out request or termination batch.
    pub fn machines_per_request(&self) -> usize {
        let names = self.value_limit().saturating_sub(REQUEST_BYTES) / MACHINE_NAME_BYTES;
        names.clamp(1, MACHINES_PER_REQUEST)
    }

    /// Writes a scale-out request under a name that is new, if this controller still leads.
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
        if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&transaction).await {
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

    /// Sends every request that is written and not answered, also those of earlier leaders.
    pub(super) fn execute_scale_out_requests(self: &Rc<Controller>, state: &LeaderState) {
        let unanswered: Vec<(String, ScaleOutRequest)> = {
            let view = self.watch_cache.view();
            let outstanding = state.outstanding_requests.borrow();
            view.scale_out_requests
                .iter()
                .filter(|(name, request)| request.open() && !outstanding.contains(*name))
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

    async fn execute_scale_out_request(&self, name: &str, request: &ScaleOutRequest) {
        let sent_at = wall();
        let machines = match self.provision(name, request).await {
            ProvisionOutcome::Provisioned(machines) => machines,
            ProvisionOutcome::Refused => {
                self.provisioning_errors.refuse(request, self.clock.now());
                Vec::new()
            }
            ProvisionOutcome::Retry => return self.sleep(SECOND).await,
        };
        if !machines.is_empty() && machines.len() < request.count as usize {
            self.provisioning_errors.refuse(request, self.clock.now());
        }
        let answered = (!machines.is_empty()).then(|| {
            to_value(&ScaleOutRequest {
                machines,
                requested_at: sent_at,
                ..request.clone()
            })
        });
        // If this cannot be written the request is sent again under the same name.
        self.write_cloud_answer(keys::scale_out_request(name), answered)
            .await;
    }

    /// Sends one request to the cloud.
    async fn provision(&self, name: &str, request: &ScaleOutRequest) -> ProvisionOutcome {
        let body = encode(&ProvisionRequest {
            request: name.to_string(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            count: request.count,
        });
        let cloud = self.settings.cloud;
        let answer = self
            .http
            .call(
                cloud,
                Method::Post,
                MACHINES_PATH,
                Some(body),
                CLOUD_TIMEOUT,
            )
            .await;
        let Ok(answer) = answer else {
            return ProvisionOutcome::Retry;
        };
        match answer.status {
            200 => answer
                .ok::<MachineNames>()
                .map_or(ProvisionOutcome::Retry, |names| {
                    ProvisionOutcome::Provisioned(names.machines)
                }),
            503 if String::from_utf8_lossy(&answer.body).contains(NO_CAPACITY) => {
                ProvisionOutcome::Refused
            }
            400 => {
                tracing::warn!(
                    request = name,
                    "cloud refused a scale-out request as malformed"
                );
                ProvisionOutcome::Refused
            }
            _ => ProvisionOutcome::Retry,
        }
    }

    /// Writes what the cloud's final answer means for a request or batch, or deletes it, if its key is as
    /// the cluster state has it.
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
            TransactionOutcome::Done(_)
        ) {
            self.watch_cache.linearizable_read().await;
            self.sleep(SECOND / 4).await;
        }
    }
}
