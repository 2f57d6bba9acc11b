//! What a controller does: hears of changes, claims shards, reconciles, and answers heartbeats.

use crate::checks::assert_no_cancelled_start;
use crate::common::LIMITS;
use crate::world::{CANCEL, DelayedMessage, LEASE, World};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{Placement, Resources};
use coppergw::membership::{Member, SHARD_COUNT, Shard, assign_shards, shard_of};
use coppergw::scheduling::{SchedulableMachine, SchedulingInput, schedule};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Precondition, Transaction};
use coppergw::wire::to_value;
use coppergw::wire::worker::{Command, Heartbeat};
use coppergw::workers::{
    CommandChannel, HeartbeatSource, WorkerState, commands, may_answer, reconcile,
};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

impl World {
    /// A controller hears of everything, and has a lease again if it lost it.
    pub(crate) fn sync(&mut self, controller_index: usize) {
        if self.controllers[controller_index].state_service_refuses {
            return;
        }
        let key = keys::member(&self.controllers[controller_index].name);
        let have =
            self.store.keys.contains_key(&key) && self.controllers[controller_index].lease > 0;
        if !have {
            self.leases += 1;
            self.controllers[controller_index].lease = self.leases;
            let member = Member {
                lease: self.leases,
                since: 0,
                unreachable_by_workers: false,
                version: 0,
                restart_count: 0,
            };
            self.store.put(key, &member);
        }
        let controller = &mut self.controllers[controller_index];
        for (revision, path, value) in &self.store.log[controller.seen..] {
            match value {
                Some(value) => controller.view.put(path, value, *revision),
                None => controller.view.delete(path, *revision),
            }
        }
        controller.seen = self.store.log.len();
        controller.synced_at = self.now;
        controller.view.revision = self.store.rev;
    }

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
            let ours =
                current.is_some_and(|x| x.owner == controller.name && x.lease == controller.lease);
            let blocked_by_unacknowledged_start = controller
                .machines
                .iter()
                .any(|(id, m)| shard_of(id) == shard && m.blocked_by_unacknowledged_start());
            if assigned.get(&shard) == Some(&controller.name)
                && (!ours || blocked_by_unacknowledged_start)
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
                        term: current.map_or(0, |x| x.term) + 1,
                    }),
                    lease: None,
                });
            }
        }
        if !transaction.mutations.is_empty() {
            self.store.apply(&transaction);
        }
    }

    pub(crate) fn adopt_machines(&mut self, controller_index: usize) {
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
            .retain(|id, m| terms[shard_of(id) as usize] == Some(m.term));
        let gone: Vec<MachineId> = controller.view.tasks_by_machine.keys().cloned().collect();
        for id in ids.into_iter().chain(gone) {
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

    /// One pass of the reconciler. `fate` of its writes: carried out, carried out without an answer, or late.
    pub(crate) fn reconcile_pass(&mut self, controller_index: usize, fate: u8) {
        self.adopt_machines(controller_index);
        let terms = self.terms(controller_index);
        let (mut changes, freed) = self.proven_changes(controller_index, fate);
        changes.extend(self.scheduled_changes(controller_index, &terms, &freed));
        if fate % 32 >= 24 {
            changes.extend(self.stop_of_some_task(controller_index, &terms, fate));
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
            match fate % 4 {
                // What is sent to a service that refuses may have been on its way before.
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

    /// Ends of attempts and jobs that follow from what the controller knows, and the resources that are free
    /// after them.
    fn proven_changes(
        &self,
        controller_index: usize,
        fate: u8,
    ) -> (Vec<JobChange>, HashMap<MachineId, Resources>) {
        let controller = &self.controllers[controller_index];
        let mut changes = Vec::new();
        let mut freed: HashMap<MachineId, Resources> = HashMap::new();
        for (id, worker) in &controller.machines {
            let mut ended = Vec::new();
            reconcile(&controller.view, id, worker, LEASE, self.now, &mut ended);
            for change in &ended {
                let resources = controller.view.jobs[change.job()].spec.resources;
                freed.entry(id.clone()).or_default().add(&resources);
            }
            // Bookkeeping may wait: the resources are used again before the exit is written.
            if fate < 128 {
                changes.extend(ended);
            }
        }
        for (id, job) in &controller.view.jobs {
            if (job.spec.cancelled && job.placed == 0) || job.done == job.spec.task_count {
                changes.push(JobChange::Finalize { job: id.clone() });
            }
        }
        (changes, freed)
    }

    fn scheduled_changes(
        &self,
        controller_index: usize,
        terms: &[Option<u64>],
        freed: &HashMap<MachineId, Resources>,
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
            schedulable: &schedulable,
            freed,
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

    /// A preemption or a drain: a task that has to stop and starts again elsewhere. What is wrongly believed to
    /// have ended shows only here.
    fn stop_of_some_task(
        &self,
        controller_index: usize,
        terms: &[Option<u64>],
        fate: u8,
    ) -> Option<JobChange> {
        let controller = &self.controllers[controller_index];
        let owns = |name: &str| terms[shard_of(name) as usize].is_some();
        let own = |placement: &&(u32, &Placement)| {
            placement.1.stop.is_none() && owns(&placement.1.machine)
        };
        let jobs = controller.view.jobs.iter().skip(fate as usize / 32);
        let (id, (index, placement)) = jobs
            .flat_map(|(id, job)| job.placements().map(move |placement| (id, placement)))
            .find(|(_, placement)| own(&placement))?;
        Some(JobChange::Stop {
            job: id.clone(),
            index,
            attempt: placement.attempt,
            grace: 0,
        })
    }

    /// New sessions of machines that hold the controller's token, for their records.
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

    /// A controller answers a heartbeat with its token and commands, if the machine is its own.
    pub(crate) fn answer_heartbeat(
        &mut self,
        controller_index: usize,
        heartbeat: &Heartbeat,
    ) -> Option<(u64, Vec<Command>)> {
        let id: MachineId = heartbeat.machine.as_str().into();
        let term = self.term(controller_index, shard_of(&id))?;
        if heartbeat.fencing_token > term
            || !may_answer(
                LEASE,
                CANCEL,
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
        let list = if newer {
            commands(
                &controller.view,
                &id,
                worker,
                CommandChannel::HeartbeatAnswer,
            )
        } else {
            Vec::new()
        };
        assert_no_cancelled_start(&self.controllers[controller_index].view, &list);
        Some((term, list))
    }
}
