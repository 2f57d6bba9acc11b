//! Makes the plan of a pass: which jobs and machines of the cluster are this controller's to plan, and
//! which of the others' it may take over.

use super::decide::PlanRequest;
use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::JobId;
use crate::membership::shard_of;
use crate::scheduling::{self, SchedulableMachine, SchedulingInput, Writes};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND, wall};
use crate::wire::user::JobKind;
use crate::workers::{self, WorkerState};
use std::cell::OnceCell;
use std::collections::BTreeMap;

/// Waiting tasks of another controller's service are placed only after this: their owner comes first.
const TAKE_SERVICE_AFTER: Micros = 6 * SECOND / 5;
/// The same for arrays.
const TAKE_ARRAY_AFTER: Micros = 3 * SECOND;
/// The same for pipeline steps with a deadline, which have little time to lose.
const TAKE_DEADLINE_STEP_AFTER: Micros = 4 * SECOND / 5;
/// The same for jobs whose owner is not alive.
const TAKE_ORPHAN_AFTER: Micros = 3 * SECOND / 10;
/// The owner of this shard places gangs, so that only one controller at a time does.
const GANG_SHARD: u32 = 0;

impl Controller {
    /// The plan for our machines, and for gangs if these fall to us.
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
        let place_gangs = request.deadline_steps && terms[GANG_SHARD as usize].is_some();
        let scope = PlanScope {
            controller: self,
            view,
            terms,
            machines: &machines,
            now,
            uses_peers_machines: uses_peers_machines(view, terms, place_gangs),
            many_inbound_partitions: OnceCell::new(),
        };
        let owns = |name: &str| owns(terms, name);
        let schedulable = |id: &MachineId, record: &MachineRecord| scope.schedulable(id, record);
        let in_backoff = |job: &str| scope.in_backoff(job);
        let in_flight = self.reconciler.jobs_in_flight.borrow();
        let busy = |id: &JobId| in_flight.contains(id);
        scheduling::schedule(&SchedulingInput {
            view,
            wall_clock: wall(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            schedulable: &schedulable,
            freed: request.freed,
            in_backoff: &in_backoff,
            owns_job: &owns,
            owns_machine: &owns,
            place_gangs,
            place_arrays: request.arrays,
            place_deadline_steps: request.deadline_steps,
            forecast: false,
            write_limit: request.max_jobs.map(|jobs| Writes { jobs, busy: &busy }),
        })
        .changes
    }
}

/// Whether a job or machine belongs to a shard of ours: jobs belong to shards as machines do.
fn owns(terms: &[Option<u64>], name: &str) -> bool {
    terms[shard_of(name) as usize].is_some()
}

/// Whether tasks wait that may be placed on machines of other controllers: gangs, if they fall to us,
/// and services of ours.
fn uses_peers_machines(view: &ClusterState, terms: &[Option<u64>], place_gangs: bool) -> bool {
    let is_queued_gang = |job: &Job| job.spec.kind == JobKind::Gang && job.queued() > 0;
    let gang_waits = place_gangs && view.waiting().any(|(_, job)| is_queued_gang(job));
    gang_waits
        || view
            .waiting_services()
            .any(|(id, job)| job.queued() > 0 && owns(terms, id))
}

/// What the questions of the scheduler are answered from.
struct PlanScope<'a> {
    controller: &'a Controller,
    view: &'a ClusterState,
    /// Our term of each shard that we own.
    terms: &'a [Option<u64>],
    /// The machines that we drive.
    machines: &'a BTreeMap<MachineId, WorkerState>,
    now: Micros,
    uses_peers_machines: bool,
    /// Worked out when it is first asked for, which is seldom: without machines in an inbound
    /// partition no plan looks at all of them.
    many_inbound_partitions: OnceCell<bool>,
}

impl PlanScope<'_> {
    /// Whether, and in which session, a machine may be given tasks.
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
        if !self.uses_peers_machines || owns(self.terms, id) {
            return None;
        }
        let session = match record.state {
            MachineState::Up => record.session,
            _ => self.controller.membership.ready_at_peer(id, self.now)?,
        };
        Some(SchedulableMachine {
            session,
            owned: false,
        })
    }

    /// Whether a machine is in an inbound partition together with many others.
    fn in_many_inbound_partitions(&self, worker: &WorkerState) -> bool {
        worker.inbound_partition()
            && *self
                .many_inbound_partitions
                .get_or_init(|| workers::many_inbound_partitions(self.machines))
    }

    /// Whether a job is not to be placed now: it backs off after failures, or it is another
    /// controller's, which comes first.
    fn in_backoff(&self, id: &str) -> bool {
        if self.controller.workers.in_backoff(id, self.now) {
            return true;
        }
        let Some(job) = self.view.jobs.get(id) else {
            return true;
        };
        if owns(self.terms, id) || job.spec.kind == JobKind::Gang {
            return false;
        }
        wall().saturating_sub(job.waiting_since) < self.take_after(id, job)
    }

    /// How long another controller's job waits until we place its tasks.
    fn take_after(&self, id: &str, job: &Job) -> Micros {
        let owner_alive = self.view.shards.get(&shard_of(id)).is_some_and(|shard| {
            self.view
                .members
                .get(&shard.owner)
                .is_some_and(|member| member.lease == shard.lease)
        });
        if !owner_alive {
            return TAKE_ORPHAN_AFTER;
        }
        if job.is_deadline_step() {
            return TAKE_DEADLINE_STEP_AFTER;
        }
        match job.spec.kind {
            JobKind::Service => TAKE_SERVICE_AFTER,
            _ => TAKE_ARRAY_AFTER,
        }
    }
}
