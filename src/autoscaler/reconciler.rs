//! Autoscaler loop of the leader: reads the cloud's machine types and machine list, makes scaling
//! decisions, and sends the cloud requests that execute them. Only the leader writes machine types,
//! scale-out requests and termination batches of empty machines. `LeaderState` is discarded when leadership
//! is lost.

mod cloud_requests;
mod garbage_collection;
mod machine_list;
mod machine_types;
mod provisioning_errors;
mod scale_out_requests;
mod terminations;

pub use garbage_collection::{close_scale_out_request, delete_terminated_records};
pub use provisioning_errors::CloudRequestState;

use super::model::{MachineRecord, MachineState};
use super::{CapacityForecast, ScalingDecision, decide, late_booting_machines};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::scheduling::{self, SchedulableMachine, Schedule, SchedulingInput};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, wall_clock_now};
use crate::workers::WorkerState;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Interval of the autoscaler loop.
const LOOP_INTERVAL: Micros = SECOND / 4;
/// Shortest interval between scaling decisions.
const MIN_DECISION_INTERVAL: Micros = SECOND / 2;
/// Shortest interval between the starts of two decisions, as a multiple of the duration of the first one. Decisions
/// take at most one part in this number of the leader's time.
const DECISION_TIME_DIVISOR: u64 = 20;
/// Time after a change of leader within which the new leader receives a peer heartbeat from every reachable
/// owner, listing the owner's ready machines.
const PEER_HEARTBEATS_COMPLETE_TIME: Micros = 5 * SECOND;
/// Interval at which machine types are read to keep prices up to date.
const MACHINE_TYPES_INTERVAL: Micros = 60 * SECOND;
/// Shortest interval at which the cloud's machine list is read.
const MIN_MACHINE_LIST_INTERVAL: Micros = 2 * SECOND;

/// State of the leader, kept in memory. Times are of the monotonic clock unless stated otherwise.
#[derive(Default)]
struct LeaderState {
    /// Time at which this controller became leader.
    leader_since: Micros,
    /// Time of the last read of the machine types.
    machine_types_read_at: Micros,
    /// Time of the last read of the machine list.
    machine_list_read_at: Micros,
    /// Time of the last fairness round.
    fairness_round_at: Micros,
    /// Wall-clock time since which each idle machine has been idle.
    idle_since: HashMap<MachineId, Micros>,
    /// Wall-clock time at which the termination of each machine was requested. The machine list lags and may
    /// still contain the machine.
    terminated_at: HashMap<String, Micros>,
    /// Number of consecutive machine lists in which a booting machine was missing.
    consecutive_unlisted: HashMap<MachineId, u32>,
    /// Start time of the last scaling decision.
    decided_at: Micros,
    /// Interval until the next decision, derived from the duration of the last one.
    decision_interval: Micros,
    /// Names of scale-out requests and termination batches with an outstanding request to the cloud.
    outstanding_requests: Rc<RefCell<HashSet<String>>>,
    /// Machines with an outstanding termination request outside a termination batch.
    outstanding_terminations: Rc<RefCell<HashSet<MachineId>>>,
}

impl LeaderState {
    /// Creates the state of a controller that became leader at the given time.
    fn new(leader_since: Micros) -> LeaderState {
        LeaderState {
            leader_since,
            ..LeaderState::default()
        }
    }
}

impl Controller {
    /// Runs the autoscaler and the fairness rounds while this controller is the leader.
    pub async fn autoscaler_loop(self: Rc<Controller>) {
        let mut state = LeaderState::new(self.clock.now());
        loop {
            self.sleep(LOOP_INTERVAL).await;
            if !self.watch_cache.loaded() || !self.watch_cache.is_current() {
                continue;
            }
            if !self.acquire_leadership().await {
                state = LeaderState::new(self.clock.now());
                continue;
            }
            self.run_leader_iteration(&mut state).await;
        }
    }

    /// Runs one iteration of the autoscaler loop.
    async fn run_leader_iteration(self: &Rc<Controller>, state: &mut LeaderState) {
        let now = self.clock.now();
        self.refresh_from_cloud(state, now).await;
        if now.saturating_sub(state.fairness_round_at) >= self.policy.fairness_interval {
            state.fairness_round_at = now;
            if tracing::enabled!(tracing::Level::DEBUG) {
                let view = self.watch_cache.view();
                let machines = machine_counts(&view);
                tracing::debug!(?machines, "machine counts by type, spot and state");
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
        let decision_duration = self.clock.now().saturating_sub(decision_began);
        state.decision_interval =
            MIN_DECISION_INTERVAL.max(decision_duration * DECISION_TIME_DIVISOR);
        self.write_decision(decision).await;
        self.execute_requests(state);
    }

    /// Reads machine types and the machine list when due, and cleans up finished scale-out requests and
    /// terminated machines.
    async fn refresh_from_cloud(&self, state: &mut LeaderState, now: Micros) {
        if now.saturating_sub(state.machine_types_read_at) > MACHINE_TYPES_INTERVAL
            || self.watch_cache.view().machine_types.is_empty()
        {
            state.machine_types_read_at = now;
            self.refresh_machine_types().await;
        }
        // The list lags, so a shorter interval would not return newer data.
        let list_interval = (self.settings.list_lag / 2).max(MIN_MACHINE_LIST_INTERVAL);
        if now.saturating_sub(state.machine_list_read_at) > list_interval {
            state.machine_list_read_at = now;
            self.reconcile_with_machine_list(state).await;
            self.delete_keys_of_ended_jobs().await;
            self.close_scale_out_requests().await;
            self.delete_terminated_machines().await;
        }
    }

    /// Sends every stored request to the cloud that is neither answered nor outstanding.
    fn execute_requests(self: &Rc<Controller>, state: &mut LeaderState) {
        self.execute_scale_out_requests(state);
        self.execute_terminations(state);
        self.execute_termination_batches(state);
    }

    /// Makes a scaling decision on the current cluster state. `now` is the start time of this iteration.
    fn scaling_decision(&self, state: &mut LeaderState, now: Micros) -> ScalingDecision {
        let view = self.watch_cache.view();
        let wall_clock = wall_clock_now();
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
            now.saturating_sub(state.leader_since) < PEER_HEARTBEATS_COMPLETE_TIME;
        decide(&CapacityForecast {
            view: &view,
            schedule: &schedule,
            policy: &self.policy,
            objectives: &self.settings.objectives,
            teams: &self.settings.teams,
            wall_clock,
            recently_refused: &|machine_type, zone, spot| {
                self.cloud_request_state
                    .recently_refused(machine_type, zone, spot, now)
            },
            idle_since: &state.idle_since,
            max_machines_per_request: self.max_machines_per_request(),
            // A new leader has not yet received the owners' peer heartbeats, which list the ready machines. Until
            // then the early timeout is off; the boot timeout of the machine type still applies.
            is_known_ready: &|id| heartbeats_incomplete || self.is_known_ready(id),
        })
    }

    /// Writes the state changes and requests of a decision.
    async fn write_decision(&self, decision: ScalingDecision) {
        if self.transaction_limits().write_newer_layout {
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
            let name = self.next_cloud_request_name();
            self.write_scale_out_request(&name, &request).await;
        }
    }

    /// Computes the schedule over all machines of the cluster. With `include_booting` the schedule shows
    /// which tasks stay unplaced once the booting machines are up, otherwise which tasks have no machine
    /// now.
    pub fn forecast(&self, view: &ClusterState, include_booting: bool) -> Schedule {
        let wall_clock = wall_clock_now();
        let late_machines = late_booting_machines(view, wall_clock, &|id| self.is_known_ready(id));
        let schedulable = |id: &MachineId, record: &MachineRecord| {
            let is_counted = match record.state {
                MachineState::Up => true,
                MachineState::Booting => include_booting && !late_machines.contains(id),
                _ => false,
            };
            is_counted.then_some(SchedulableMachine {
                session: record.session,
                owned: true,
            })
        };
        let released = HashMap::new();
        scheduling::schedule(&SchedulingInput {
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            forecast: true,
            ..SchedulingInput::of_whole_cluster(view, wall_clock, &schedulable, &released)
        })
    }

    /// Returns whether a machine is ready according to its own heartbeats or to its owner's peer heartbeats,
    /// regardless of its record.
    fn is_known_ready(&self, id: &MachineId) -> bool {
        self.membership.reported_ready_by_peer(id)
            || self
                .workers
                .machines()
                .get(id)
                .is_some_and(WorkerState::fenced)
    }

    /// Returns a unique name for a request to the cloud, made of the controller's name, its lease and a
    /// sequence number.
    fn next_cloud_request_name(&self) -> String {
        let lease = self.membership.lease().unwrap_or(0);
        self.cloud_request_state
            .next_request_name(self.node_name(), lease)
    }
}

/// Number of machines of one type and state, for the log.
#[derive(Debug, Default)]
struct MachineCount {
    all: u32,
    /// Machines that are empty or run only backfill tasks.
    idle: u32,
}

/// Counts machines by type, spot flag and state.
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
