//! Actions of a controller: reads changes, claims shards, reconciles, and answers heartbeats.

use crate::checks::assert_no_cancelled_start;
use crate::common::LIMITS;
use crate::world::{CANCEL_TIMEOUT, DelayedMessage, LEASE_DURATION, World};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{Placement, Resources};
use coppergw::membership::{Member, SHARD_COUNT, Shard, assign_shards, shard_of};
use coppergw::scheduling::{SchedulableMachine, SchedulingInput, schedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Precondition, Transaction};
use coppergw::wire::to_value;
use coppergw::wire::worker::{Command, Heartbeat};
use coppergw::workers::{
    CommandChannel, FencingToken, HeartbeatSource, TokenFormat, WorkerState, commands,
    may_answer_heartbeats, reconcile,
};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;

/// Returns whether a direct start blocks a machine, and no answer to a heartbeat raises its token.
fn needs_term(view: &ClusterState, id: &MachineId, worker: &WorkerState) -> bool {
    let no_tasks = BTreeMap::new();
    let placed = view.tasks_on(id).unwrap_or(&no_tasks);
    TokenFormat::in_use(view) == TokenFormat::Term
        && (worker.blocked_by_direct_start() || worker.blocked_by_retained_attempts(placed))
}

impl World {
    /// Applies all changes in the state service to the view of a controller. A controller without a lease gets a
    /// new one and writes its member key.
    pub(crate) fn sync(&mut self, controller_index: usize) {
        if self.controllers[controller_index].state_service_refuses {
            return;
        }
        let key = keys::member(&self.controllers[controller_index].name);
        let is_member =
            self.store.keys.contains_key(&key) && self.controllers[controller_index].lease > 0;
        if !is_member {
            self.last_lease_id += 1;
            self.controllers[controller_index].lease = self.last_lease_id;
            let member = Member {
                lease: self.last_lease_id,
                joined_at: 0,
                unreachable_by_workers: false,
                layout_version: 0,
                restart_count: 0,
            };
            self.store.put(key, &member);
        }
        let controller = &mut self.controllers[controller_index];
        self.store
            .update_view(&mut controller.view, &mut controller.log_position);
        controller.synced_at = self.now;
    }

    /// Returns the term under which a controller owns a shard, according to its view.
    pub(crate) fn term(&self, controller_index: usize, shard: u32) -> Option<u64> {
        let controller = &self.controllers[controller_index];
        let record = controller.view.shards.get(&shard)?;
        (record.owner == controller.name
            && record.lease == controller.lease
            && controller.view.revision >= controller.view.version(&keys::shard(shard)))
        .then_some(record.term)
    }

    pub(crate) fn claim_shards(&mut self, controller_index: usize) {
        if self.controllers[controller_index].state_service_refuses {
            return;
        }
        let controller = &self.controllers[controller_index];
        let assigned = assign_shards(&controller.view.shards, &controller.view.members, self.now);
        let mut transaction = Transaction::default();
        for shard in 0..SHARD_COUNT {
            let current = controller.view.shards.get(&shard);
            let is_owner = current.is_some_and(|shard| {
                shard.owner == controller.name && shard.lease == controller.lease
            });
            let blocked_by_direct_start = controller.machines.iter().any(|(id, machine)| {
                shard_of(id) == shard && needs_term(&controller.view, id, machine)
            });
            if assigned.get(&shard) == Some(&controller.name)
                && (!is_owner || blocked_by_direct_start)
            {
                let key = keys::shard(shard);
                transaction.preconditions.push(Precondition {
                    key: key.clone(),
                    version: controller.view.version(&key),
                });
                transaction.mutations.push(Mutation::Put {
                    key,
                    value: to_value(&Shard {
                        owner: controller.name.clone(),
                        lease: controller.lease,
                        term: current.map_or(0, |shard| shard.term) + 1,
                    }),
                    lease: None,
                });
            }
        }
        if !transaction.mutations.is_empty() {
            self.store.apply(&transaction);
        }
    }

    pub(crate) fn track_owned_machines(&mut self, controller_index: usize) {
        let ids: Vec<MachineId> = self.controllers[controller_index]
            .view
            .machines
            .keys()
            .cloned()
            .collect();
        let terms: Vec<Option<u64>> = (0..SHARD_COUNT)
            .map(|shard| self.term(controller_index, shard))
            .collect();
        let now = self.now;
        let controller = &mut self.controllers[controller_index];
        controller
            .machines
            .retain(|id, machine| terms[shard_of(id) as usize] == Some(machine.term));
        let machines_with_tasks: Vec<MachineId> =
            controller.view.tasks_by_machine.keys().cloned().collect();
        for id in ids.into_iter().chain(machines_with_tasks) {
            if let Some(term) = terms[shard_of(&id) as usize] {
                controller
                    .machines
                    .entry(id)
                    .or_insert_with(|| WorkerState::new(term, now));
            }
        }
    }

    fn terms(&self, controller_index: usize) -> Vec<Option<u64>> {
        (0..SHARD_COUNT)
            .map(|shard| self.term(controller_index, shard))
            .collect()
    }

    /// Runs one pass of the reconciler. The generated `outcome` selects whether its writes are applied or delayed,
    /// whether ended attempts are recorded, and whether a task is preempted.
    pub(crate) fn reconcile_pass(&mut self, controller_index: usize, outcome: u8) {
        self.track_owned_machines(controller_index);
        let terms = self.terms(controller_index);
        let (mut changes, released_resources) = self.completion_changes(controller_index, outcome);
        changes.extend(self.scheduled_changes(controller_index, &terms, &released_resources));
        if outcome % 32 >= 24 {
            changes.extend(self.preemption_change(controller_index, &terms, outcome));
        }
        let sessions = self.session_writes(controller_index);
        let controller = &self.controllers[controller_index];
        let staged = stage(
            &controller.view,
            &changes,
            &HashSet::new(),
            &|_| false,
            LIMITS,
        );
        let state_service_refuses = controller.state_service_refuses;
        for transaction in sessions.into_iter().filter(|_| !state_service_refuses) {
            self.store.apply(&transaction);
        }
        for write in staged {
            match outcome % 4 {
                // A refusing service drops new transactions; a delayed one may have been sent before the refusal.
                1.. if state_service_refuses => {}
                0 => self
                    .delayed
                    .push(DelayedMessage::Transaction(write.transaction)),
                _ => {
                    self.store.apply(&write.transaction);
                }
            }
        }
    }

    /// Returns ends of attempts and jobs that follow from the state of the controller, and the resources that they
    /// free.
    fn completion_changes(
        &self,
        controller_index: usize,
        outcome: u8,
    ) -> (Vec<JobChange>, HashMap<MachineId, Resources>) {
        let controller = &self.controllers[controller_index];
        let mut changes = Vec::new();
        let mut released_resources: HashMap<MachineId, Resources> = HashMap::new();
        for (id, worker) in &controller.machines {
            let mut ended = Vec::new();
            reconcile(
                &controller.view,
                id,
                worker,
                LEASE_DURATION,
                self.now,
                &mut ended,
            );
            for change in &ended {
                let resources = controller.view.jobs[change.job()].spec.resources;
                released_resources
                    .entry(id.clone())
                    .or_default()
                    .add(&resources);
            }
            // The exit may be written later: the resources are reused before that.
            if outcome < 128 {
                changes.extend(ended);
            }
        }
        for (id, job) in &controller.view.jobs {
            if (job.spec.cancelled && job.placed == 0) || job.done == job.spec.task_count {
                changes.push(JobChange::Finalize { job: id.clone() });
            }
        }
        (changes, released_resources)
    }

    fn scheduled_changes(
        &self,
        controller_index: usize,
        terms: &[Option<u64>],
        released_resources: &HashMap<MachineId, Resources>,
    ) -> Vec<JobChange> {
        let controller = &self.controllers[controller_index];
        let schedulable = |id: &MachineId, record: &MachineRecord| {
            if record.state != MachineState::Up {
                return None;
            }
            match controller.machines.get(id) {
                Some(worker) => (worker.fenced()
                    && self.now - worker.heartbeat.last_contact_at < 6 * SECOND)
                    .then_some(SchedulableMachine {
                        session: worker.session,
                        owned: true,
                    }),
                None => Some(SchedulableMachine {
                    session: record.session,
                    owned: false,
                }),
            }
        };
        let owns = |name: &str| terms[shard_of(name) as usize].is_some();
        schedule(&SchedulingInput {
            view: &controller.view,
            wall_clock: self.now,
            teams: &[],
            objectives: &[],
            schedulable_machine: &schedulable,
            released_resources,
            in_backoff: &|_| false,
            owns_job: &owns,
            owns_machine: &owns,
            place_gangs: terms[0].is_some(),
            place_arrays: true,
            place_deadline_steps: true,
            forecast: false,
            write_limit: None,
        })
        .changes
    }

    /// Stops a task as a preemption or a drain does, so that it restarts on another machine. Only such a restart
    /// reveals an attempt that was wrongly recorded as ended.
    fn preemption_change(
        &self,
        controller_index: usize,
        terms: &[Option<u64>],
        outcome: u8,
    ) -> Option<JobChange> {
        let controller = &self.controllers[controller_index];
        let owns = |name: &str| terms[shard_of(name) as usize].is_some();
        let can_stop = |placement: &&(u32, &Placement)| {
            placement.1.stop_grace_period.is_none() && owns(&placement.1.machine)
        };
        let jobs = controller.view.jobs.iter().skip(outcome as usize / 32);
        let (id, (index, placement)) = jobs
            .flat_map(|(id, job)| job.placements().map(move |placement| (id, placement)))
            .find(|(_, placement)| can_stop(&placement))?;
        Some(JobChange::Stop {
            job: id.clone(),
            index,
            attempt: placement.attempt,
            grace: 0,
        })
    }

    /// Returns updates of machine records with new sessions of machines that hold the fencing token of the
    /// controller.
    fn session_writes(&self, controller_index: usize) -> Vec<Transaction> {
        let controller = &self.controllers[controller_index];
        let mut sessions = Vec::new();
        for (id, worker) in &controller.machines {
            if let Some(record) = controller.view.machines.get(id)
                && worker.fenced()
                && worker.session > record.session
            {
                let key = keys::machine(id);
                let preconditions = [key.clone(), keys::shard(shard_of(id))]
                    .map(|path| Precondition {
                        version: controller.view.version(&path),
                        key: path,
                    })
                    .to_vec();
                let session = worker.session;
                sessions.push(Transaction {
                    preconditions,
                    mutations: vec![Mutation::Put {
                        key,
                        value: to_value(&MachineRecord {
                            session,
                            ..record.clone()
                        }),
                        lease: None,
                    }],
                });
            }
        }
        sessions
    }

    /// Answers a heartbeat with the fencing token and commands, if the controller owns the machine.
    pub(crate) fn answer_heartbeat(
        &mut self,
        controller_index: usize,
        heartbeat: &Heartbeat,
    ) -> Option<(u64, Vec<Command>)> {
        let id: MachineId = heartbeat.machine.as_str().into();
        let term = self.term(controller_index, shard_of(&id))?;
        if FencingToken::from_wire(heartbeat.fencing_token).term > term
            || !may_answer_heartbeats(
                LEASE_DURATION,
                CANCEL_TIMEOUT,
                self.controllers[controller_index].synced_at,
                self.now,
            )
        {
            return None;
        }
        let now = self.now;
        let controller = &mut self.controllers[controller_index];
        let worker = controller
            .machines
            .entry(id.clone())
            .or_insert_with(|| WorkerState::new(term, now));
        if worker.term != term {
            *worker = WorkerState::new(term, now);
        }
        let newer =
            (heartbeat.session, heartbeat.sequence) > (worker.session, worker.heartbeat.sequence);
        worker.apply_heartbeat(heartbeat, HeartbeatSource::Periodic, now);
        worker.heartbeat.last_answered_at = Some(now);
        let batch = if newer {
            commands(
                &controller.view,
                &id,
                worker,
                CommandChannel::HeartbeatAnswer,
            )
        } else {
            Vec::new()
        };
        let token = worker
            .token()
            .to_wire(TokenFormat::in_use(&controller.view));
        assert_no_cancelled_start(&self.controllers[controller_index].view, &batch);
        Some((token, batch))
    }
}
