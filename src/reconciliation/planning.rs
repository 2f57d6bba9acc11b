//! Computes the plan of a pass: selects the jobs and machines that this controller plans, and the jobs and
//! machines of other controllers that it may use.

use super::decide::PlanRequest;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::JobId;
use crate::membership::shard_of;
use crate::scheduling::{self, SchedulableMachine, SchedulingInput, WriteLimit};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND, wall_clock_now};
use crate::wire::user::JobKind;
use crate::workers::{self, WorkerState};
use std::cell::OnceCell;
use std::collections::BTreeMap;

/// Time for which tasks of another controller's service wait before this controller places them: the
/// owner has precedence.
const SERVICE_TAKEOVER_DELAY: Micros = 6 * SECOND / 5;
/// Takeover delay for arrays.
const ARRAY_TAKEOVER_DELAY: Micros = 3 * SECOND;
/// Takeover delay for pipeline steps with a deadline; it is short because of the deadline.
const DEADLINE_STEP_TAKEOVER_DELAY: Micros = 4 * SECOND / 5;
/// Takeover delay for jobs whose owner is not alive.
const ORPHANED_JOB_TAKEOVER_DELAY: Micros = 3 * SECOND / 10;
/// Shard whose owner places gangs, so that only one controller at a time places them.
const GANG_SHARD: u32 = 0;

impl Controller {
    /// Returns the plan for this controller's machines, and for gangs if it owns `GANG_SHARD`.
    pub(super) fn plan(
        &self,
        view: &ClusterState,
        terms: &[Option<u64>],
        request: &PlanRequest<'_>,
        now: Micros,
    ) -> Vec<JobChange> {
        if terms.iter().all(Option::is_none) {
            return Vec::new();
        }
        let machines = self.workers.machines();
        let place_gangs = request.place_deadline_steps && terms[GANG_SHARD as usize].is_some();
        let scope = PlanScope {
            controller: self,
            view,
            terms,
            machines: &machines,
            now,
            uses_peer_machines: uses_peer_machines(view, terms, place_gangs),
            widespread_inbound_partitions: OnceCell::new(),
        };
        let owns = |name: &str| owns(terms, name);
        let schedulable = |id: &MachineId, record: &MachineRecord| scope.schedulable(id, record);
        let in_backoff = |job: &str| scope.placement_deferred(job);
        let in_flight = self.reconciler.jobs_in_flight.borrow();
        let has_transaction_in_flight = |id: &JobId| in_flight.contains(id);
        scheduling::schedule(&SchedulingInput {
            view,
            wall_clock: wall_clock_now(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            schedulable_machine: &schedulable,
            released_resources: request.released_resources,
            in_backoff: &in_backoff,
            owns_job: &owns,
            owns_machine: &owns,
            place_gangs,
            place_arrays: request.place_arrays,
            place_deadline_steps: request.place_deadline_steps,
            forecast: false,
            write_limit: request.max_jobs.map(|max_jobs| WriteLimit {
                max_jobs,
                has_transaction_in_flight: &has_transaction_in_flight,
            }),
        })
        .changes
    }
}

/// Returns whether this controller owns the shard of a job or machine. Jobs and machines are assigned to
/// shards in the same way.
fn owns(terms: &[Option<u64>], name: &str) -> bool {
    terms[shard_of(name) as usize].is_some()
}

/// Returns whether tasks are queued that may be placed on machines of other controllers: gangs, if this
/// controller places them, and this controller's services.
fn uses_peer_machines(view: &ClusterState, terms: &[Option<u64>], place_gangs: bool) -> bool {
    let is_queued_gang = |job: &Job| job.spec.kind == JobKind::Gang && job.queued() > 0;
    let gang_waits = place_gangs && view.waiting().any(|(_, job)| is_queued_gang(job));
    gang_waits
        || view
            .waiting_services()
            .any(|(id, job)| job.queued() > 0 && owns(terms, id))
}

/// Context of the scheduler's callbacks in one pass.
struct PlanScope<'a> {
    controller: &'a Controller,
    view: &'a ClusterState,
    /// This controller's term of each shard, by shard; `None` for shards that it does not own.
    terms: &'a [Option<u64>],
    /// Machines that this controller manages.
    machines: &'a BTreeMap<MachineId, WorkerState>,
    now: Micros,
    uses_peer_machines: bool,
    /// Whether many machines are in an inbound partition. Computed on first use, which is rare: without
    /// machines in an inbound partition no plan has to iterate over all machines.
    widespread_inbound_partitions: OnceCell<bool>,
}

impl PlanScope<'_> {
    /// Returns the session in which a machine may be given tasks; `None` if it may not.
    fn schedulable(&self, id: &MachineId, record: &MachineRecord) -> Option<SchedulableMachine> {
        if !matches!(record.state, MachineState::Up | MachineState::Booting) {
            return None;
        }
        if let Some(worker) = self.machines.get(id) {
            let session = workers::schedulable_session(
                worker,
                record.session,
                self.in_many_inbound_partitions(worker),
                (self.controller.settings.heartbeat_interval, self.now),
            )?;
            return Some(SchedulableMachine {
                session,
                owned: true,
            });
        }
        if !self.uses_peer_machines || owns(self.terms, id) {
            return None;
        }
        let session = match record.state {
            MachineState::Up => record.session,
            _ => self
                .controller
                .membership
                .ready_session_at_peer(id, self.now)?,
        };
        Some(SchedulableMachine {
            session,
            owned: false,
        })
    }

    /// Returns whether a machine and many others are in an inbound partition.
    fn in_many_inbound_partitions(&self, worker: &WorkerState) -> bool {
        worker.inbound_partition()
            && *self
                .widespread_inbound_partitions
                .get_or_init(|| workers::widespread_inbound_partitions(self.machines))
    }

    /// Returns whether the placement of a job is deferred: it is in backoff after failures, or it belongs
    /// to another controller, which has precedence until the takeover delay has passed.
    fn placement_deferred(&self, id: &str) -> bool {
        if self.controller.workers.in_backoff(id, self.now) {
            return true;
        }
        let Some(job) = self.view.jobs.get(id) else {
            return true;
        };
        if owns(self.terms, id) || job.spec.kind == JobKind::Gang {
            return false;
        }
        wall_clock_now().saturating_sub(job.waiting_since) < self.takeover_delay(id, job)
    }

    /// Returns the time for which another controller's job waits before this controller places its tasks.
    fn takeover_delay(&self, id: &str, job: &Job) -> Micros {
        let owner_alive = self.view.shards.get(&shard_of(id)).is_some_and(|shard| {
            self.view
                .members
                .get(&shard.owner)
                .is_some_and(|member| member.lease == shard.lease)
        });
        if !owner_alive {
            return ORPHANED_JOB_TAKEOVER_DELAY;
        }
        if job.is_deadline_step() {
            return DEADLINE_STEP_TAKEOVER_DELAY;
        }
        match job.spec.kind {
            JobKind::Service => SERVICE_TAKEOVER_DELAY,
            _ => ARRAY_TAKEOVER_DELAY,
        }
    }
}
