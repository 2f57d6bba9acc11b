//! The leader's loop: machine types and machine list of the cloud, scaling decisions, and the requests
//! that carry them out. While a controller leads it alone writes machine types, scale-out requests and
//! termination batches of empty machines; `LeaderState` is lost with the lead.

mod garbage_collection;
mod machine_list;
mod machine_types;
mod provisioning_errors;
mod scale_out_requests;
mod terminations;

pub use garbage_collection::{forget_gone, shrink_scale_out_request};
pub use provisioning_errors::ProvisioningErrors;

use super::model::MachineState;
use super::{CapacityForecast, ScalingDecision, decide, not_expected};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::scheduling::{self, SchedulableMachine, Schedule, SchedulingInput};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, wall};
use crate::workers::WorkerState;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Limit for an answer of the cloud.
const CLOUD_TIMEOUT: Micros = 5 * SECOND;
/// Interval of the leader's loop.
const LOOP_INTERVAL: Micros = SECOND / 4;
/// Shortest interval of scaling decisions.
const DECISION_INTERVAL: Micros = SECOND / 2;
/// Decisions take at most this part of the leader's time: one in so many.
const DECISION_TIME_DIVISOR: u64 = 20;
/// After a controller became leader, time in which every reachable owner has told it in a peer heartbeat
/// which of its machines are ready.
const PEER_HEARTBEATS_COMPLETE: Micros = 5 * SECOND;
/// Interval at which machine types are read, for their prices.
const MACHINE_TYPES_INTERVAL: Micros = 60 * SECOND;
/// Shortest interval at which the cloud's machine list is read.
const MACHINE_LIST_INTERVAL_MIN: Micros = 2 * SECOND;

/// What the leader remembers while it leads. Times are of the monotonic clock unless it says otherwise.
#[derive(Default)]
struct LeaderState {
    /// Since when it leads.
    leader_since: Micros,
    /// When machine types were read last.
    machine_types_read_at: Micros,
    /// When the machine list was read last.
    machine_list_read_at: Micros,
    /// When the last fairness round ran.
    fairness_round_at: Micros,
    /// Wall-clock time since which each idle machine has been idle.
    idle_since: HashMap<MachineId, Micros>,
    /// Wall-clock time at which each terminated machine was terminated: the list lags and may still show
    /// it.
    terminated_at: HashMap<String, Micros>,
    /// How many lists in a row a booting machine was missing from.
    times_unlisted: HashMap<MachineId, u32>,
    /// When the last scaling decision began.
    decided_at: Micros,
    /// Interval to the next decision, by how long the last one took.
    decision_interval: Micros,
    /// Names of scale-out requests and termination batches whose request to the cloud is outstanding.
    outstanding_requests: Rc<RefCell<HashSet<String>>>,
    /// Machines of which a termination without a batch is outstanding.
    outstanding_terminations: Rc<RefCell<HashSet<MachineId>>>,
}

impl LeaderState {
    /// The state of a controller that leads from this time on.
    fn new(leader_since: Micros) -> LeaderState {
        LeaderState {
            leader_since,
            ..LeaderState::default()
        }
    }
}

impl Controller {
    /// Runs the autoscaler and the fairness rounds while this controller leads.
    pub async fn autoscaler_loop(self: Rc<Controller>) {
        let mut state = LeaderState::new(self.clock.now());
        loop {
            self.sleep(LOOP_INTERVAL).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            if !self.acquire_leadership().await {
                state = LeaderState::new(self.clock.now());
                continue;
            }
            self.lead(&mut state).await;
        }
    }

    /// One turn of the leader's loop.
    async fn lead(self: &Rc<Controller>, state: &mut LeaderState) {
        let now = self.clock.now();
        self.refresh_from_cloud(state, now).await;
        if now.saturating_sub(state.fairness_round_at) >= self.policy.fairness_round {
            state.fairness_round_at = now;
            if tracing::enabled!(tracing::Level::DEBUG) {
                let view = self.watch_cache.view();
                let machines = machine_counts(&view);
                tracing::debug!(?machines, "machines by type, spot and state");
            }
            self.fairness_round().await;
        }
        self.execute_requests(state);
        let decision_began = self.clock.now();
        if decision_began.saturating_sub(state.decided_at) < state.decision_interval {
            return;
        }
        state.decided_at = decision_began;
        let decision = self.scaling_decision(state, now);
        let took = self.clock.now().saturating_sub(decision_began);
        state.decision_interval = DECISION_INTERVAL.max(took * DECISION_TIME_DIVISOR);
        self.write_decision(decision).await;
        self.execute_requests(state);
    }

    /// Reads machine types and the machine list when it is time, and closes what is finished.
    async fn refresh_from_cloud(&self, state: &mut LeaderState, now: Micros) {
        if now.saturating_sub(state.machine_types_read_at) > MACHINE_TYPES_INTERVAL
            || self.watch_cache.view().machine_types.is_empty()
        {
            state.machine_types_read_at = now;
            self.refresh_machine_types().await;
        }
        // A list that lags shows nothing new more often than this.
        let list_interval = (self.settings.list_lag / 2).max(MACHINE_LIST_INTERVAL_MIN);
        if now.saturating_sub(state.machine_list_read_at) > list_interval {
            state.machine_list_read_at = now;
            self.reconcile_with_machine_list(state).await;
            self.clean().await;
            self.close_scale_out_requests().await;
            self.delete_terminated_machines().await;
        }
    }

    /// Sends every request to the cloud that is written, not answered and not outstanding.
    fn execute_requests(self: &Rc<Controller>, state: &mut LeaderState) {
        self.execute_scale_out_requests(state);
        self.execute_terminations(state);
        self.execute_termination_batches(state);
    }

    /// Decides on the cluster state as it is. `now` is when this turn of the loop began.
    fn scaling_decision(&self, state: &mut LeaderState, now: Micros) -> ScalingDecision {
        let view = self.watch_cache.view();
        let wall_clock = wall();
        let schedule = self.forecast(&view, true);
        state.idle_since.retain(|id, _| {
            view.machines
                .get(id)
                .is_some_and(|record| scheduling::backfill_only(&view, id, record))
        });
        for (id, record) in &view.machines {
            if record.state == MachineState::Up && scheduling::backfill_only(&view, id, record) {
                state.idle_since.entry(id.clone()).or_insert(wall_clock);
            }
        }
        let heartbeats_incomplete =
            now.saturating_sub(state.leader_since) < PEER_HEARTBEATS_COMPLETE;
        decide(&CapacityForecast {
            view: &view,
            schedule: &schedule,
            policy: &self.policy,
            objectives: &self.settings.objectives,
            teams: &self.settings.teams,
            wall_clock,
            refused: &|machine_type, zone, spot| {
                self.provisioning_errors
                    .refused(machine_type, zone, spot, now)
            },
            idle_since: &state.idle_since,
            machines_per_request: self.machines_per_request(),
            // A new leader does not know yet what the owners know: nothing is given up meanwhile.
            known_up: &|id| heartbeats_incomplete || self.known_up(id),
        })
    }

    async fn write_decision(&self, decision: ScalingDecision) {
        if self.limits().newer_layout {
            self.write_termination_batches(&decision.scale_in).await;
        } else {
            self.write_machine_states(&decision.scale_in, MachineState::Returning)
                .await;
        }
        self.write_machine_states(&decision.cordon, MachineState::Closing)
            .await;
        self.write_machine_states(&decision.uncordon, MachineState::Up)
            .await;
        for request in decision.scale_out {
            let name = self.cloud_request_name();
            self.write_scale_out_request(&name, &request).await;
        }
    }

    /// The schedule over all machines of the cluster, as the leader sees it. With `booting` machines it
    /// shows what will be missing once they are up, without them what has no machine now.
    pub fn forecast(&self, view: &ClusterState, booting: bool) -> Schedule {
        let wall_clock = wall();
        let late = not_expected(view, wall_clock, &|id| self.known_up(id));
        scheduling::schedule(&SchedulingInput {
            view,
            wall_clock,
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            schedulable: &|id, record| {
                let counts = match record.state {
                    MachineState::Up => true,
                    MachineState::Booting => booting && !late.contains(id),
                    _ => false,
                };
                counts.then_some(SchedulableMachine {
                    session: record.session,
                    owned: true,
                })
            },
            freed: &HashMap::new(),
            in_backoff: &|_| false,
            owns_job: &|_| true,
            owns_machine: &|_| true,
            place_gangs: true,
            place_arrays: true,
            place_deadline_steps: true,
            forecast: true,
            write_limit: None,
        })
    }

    /// Whether a machine is ready by its own heartbeats or by its owner's, whatever its record says.
    fn known_up(&self, id: &MachineId) -> bool {
        self.membership.reported_ready_by_peer(id)
            || self
                .workers
                .machines()
                .get(id)
                .is_some_and(WorkerState::fenced)
    }

    /// A name for a request to the cloud that was never used before: by this controller, under this
    /// lease, with a number.
    fn cloud_request_name(&self) -> String {
        let lease = self.membership.lease().unwrap_or(0);
        self.provisioning_errors.next_name(self.me(), lease)
    }
}

/// Machines of one type and state, for the log.
#[derive(Debug, Default)]
struct MachineCount {
    all: u32,
    /// Those that are empty or run backfill tasks only.
    idle: u32,
}

/// Machines by type, whether spot, and state.
fn machine_counts(view: &ClusterState) -> BTreeMap<(&str, bool, &'static str), MachineCount> {
    let mut counts: BTreeMap<_, MachineCount> = BTreeMap::new();
    for (id, record) in &view.machines {
        let state = match record.state {
            MachineState::Booting => "booting",
            MachineState::Up => "up",
            MachineState::Closing => "cordoned",
            MachineState::Draining | MachineState::Quarantined => "draining or quarantined",
            MachineState::Lost | MachineState::Returning => "terminating",
        };
        let count = counts
            .entry((&*record.machine_type, record.spot, state))
            .or_default();
        count.all += 1;
        count.idle += u32::from(scheduling::backfill_only(view, id, record));
    }
    counts
}
