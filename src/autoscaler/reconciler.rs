//! The leader's loop: machine types, list, rentals, returns.

use super::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use super::{CapacityForecast, decide, mark_leaving, not_expected, put_machine};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::scheduling::{self, SchedulableMachine, Schedule, SchedulingInput};
use crate::settings::StateLimits;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs, wall};
use crate::wire::cloud::{
    ListedStatus, MACHINES_PATH, MachineNames, MachineTypes, Page, ProvisionRequest,
    TERMINATE_PATH, TYPES,
};
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::{encode, json_size, to_value};
use crate::workers::WorkerState;
use foldhash::{HashMap, HashMapExt, HashSet};
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long the cloud may take for an answer.
const LIMIT: Micros = 5 * SECOND;
/// The leader looks this often.
const LOOK: Micros = SECOND / 4;
/// It decides on machines this often, and spends at most this part of its time on it.
const DECIDE: Micros = SECOND / 2;
const DECIDE_REST: u64 = 20;
/// Within this time every owner that answers has said which of its machines are up.
const NEWS: Micros = 5 * SECOND;
/// Machine types, for their prices.
const TYPES_EVERY: Micros = 60 * SECOND;
/// The cloud takes so many machines back at most with one request.
const PER_RETURN: usize = 100;
/// Share of the burst of writes that stays for others when machines are closed and returned.
const KEEP: f64 = 0.3;
/// The same for the keys of machines that are gone.
const FORGET: f64 = 0.6;
/// So many machines are closed or returned at each look even when writes are short.
const MARKS: usize = 3;
const MARKS_PACKED: usize = 5;
/// Machines in one charter: the conditions of one transaction must hold all their keys.
const MACHINES_PER_REQUEST: usize = 50;
/// Bytes of a charter beside the names, and of a name: the cloud's are shorter by far.
const REQUEST_BYTES: usize = 256;
const NAME_BYTES: usize = 24;
/// A refused combination is not asked for again so soon.
const REFUSED: Micros = 8 * SECOND;

/// Rental combinations that the cloud refused: type, zone, kind; until when they are not tried.
#[derive(Default)]
pub struct ProvisioningErrors {
    refused: RefCell<HashMap<(String, String, bool), Micros>>,
    /// Names that this process gave to rentals and returns. It never starts again: who loses the lead
    /// and has it back under the same lease would ask the cloud with a name that was answered, and get
    /// machines that are long gone.
    named: Cell<u64>,
}

impl ProvisioningErrors {
    fn refused(&self, kind: &str, zone: &str, spot: bool, now: Micros) -> bool {
        self.refused
            .borrow()
            .get(&(kind.to_string(), zone.to_string(), spot))
            .is_some_and(|t| *t > now)
    }
    fn name(&self, node: &str, lease: u64) -> String {
        let n = self.named.get() + 1;
        self.named.set(n);
        format!("{node}-{lease}-{n}")
    }
    fn refuse(&self, c: &ScaleOutRequest, now: Micros) {
        self.refused.borrow_mut().insert(
            (c.machine_type.clone(), c.zone.clone(), c.spot),
            now + REFUSED,
        );
    }
}

/// What the leader remembers while it leads.
#[derive(Default)]
struct Memory {
    /// Since when it leads.
    since: Micros,
    types_at: Micros,
    list_at: Micros,
    round_at: Micros,
    idle_since: HashMap<MachineId, Micros>,
    /// Machines returned: the list may still show them.
    returned: HashMap<String, Micros>,
    /// How often a machine was missing from the list.
    missing: HashMap<MachineId, u32>,
    decide_at: Micros,
    decide_every: Micros,
    under_way: Rc<RefCell<HashSet<String>>>,
    returning: Rc<RefCell<HashSet<MachineId>>>,
}

impl Memory {
    /// Nothing remembered, from this time on.
    fn from(since: Micros) -> Memory {
        Memory {
            since,
            ..Memory::default()
        }
    }
}

impl Controller {
    /// Leads while we are the leader.
    pub async fn autoscaler_loop(self: Rc<Controller>) {
        let mut mem = Memory::from(self.clock.now());
        loop {
            self.sleep(LOOK).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            if !self.acquire_leadership().await {
                mem = Memory::from(self.clock.now());
                continue;
            }
            self.lead(&mut mem).await;
        }
    }

    async fn lead(self: &Rc<Controller>, mem: &mut Memory) {
        let now = self.clock.now();
        if now.saturating_sub(mem.types_at) > TYPES_EVERY
            || self.watch_cache.view().machine_types.is_empty()
        {
            mem.types_at = now;
            self.read_types().await;
        }
        let every = (self.settings.list_lag / 2).max(2 * SECOND);
        if now.saturating_sub(mem.list_at) > every {
            mem.list_at = now;
            self.read_list(mem).await;
            self.clean().await;
            self.close_scale_out_requests().await;
            self.close_leaving().await;
        }
        if now.saturating_sub(mem.round_at) >= self.policy.fairness_round {
            mem.round_at = now;
            if tracing::enabled!(tracing::Level::DEBUG) {
                tracing::debug!(machines = ?count(&self.watch_cache.view()), "fleet");
            }
            self.fairness_round().await;
        }
        self.execute_scale_out_requests(mem);
        self.carry_out_returns(mem);
        self.carry_out_leaving(mem);
        let begun = self.clock.now();
        if begun.saturating_sub(mem.decide_at) < mem.decide_every {
            return;
        }
        mem.decide_at = begun;
        let decision = {
            let view = self.watch_cache.view();
            let wall = wall();
            let forecast = self.forecast(&view, true);
            mem.idle_since.retain(|id, _| {
                view.machines
                    .get(id)
                    .is_some_and(|h| scheduling::backfill_only(&view, id, h))
            });
            for (id, h) in &view.machines {
                if h.state == MachineState::Up && scheduling::backfill_only(&view, id, h) {
                    mem.idle_since.entry(id.clone()).or_insert(wall);
                }
            }
            let is_refused =
                |k: &str, z: &str, s: bool| self.provisioning_errors.refused(k, z, s, now);
            decide(&CapacityForecast {
                view: &view,
                schedule: &forecast,
                policy: &self.policy,
                objectives: &self.settings.objectives,
                teams: &self.settings.teams,
                wall_clock: wall,
                refused: &is_refused,
                idle_since: &mem.idle_since,
                machines_per_request: self.machines_per_request(),
                // A new leader has not heard yet what the owners know.
                known_up: &|id| now.saturating_sub(mem.since) < NEWS || self.known_up(id),
            })
        };
        let took = self.clock.now().saturating_sub(begun);
        mem.decide_every = DECIDE.max(took * DECIDE_REST);
        if self.limits().newer_layout {
            self.leave(&decision.scale_in).await;
        } else {
            self.mark(&decision.scale_in, MachineState::Returning).await;
        }
        self.mark(&decision.cordon, MachineState::Closing).await;
        self.mark(&decision.uncordon, MachineState::Up).await;
        for c in decision.scale_out {
            let name = self.scale_out_request_name();
            self.write_scale_out_request(&name, &c).await;
        }
        self.execute_scale_out_requests(mem);
        self.carry_out_returns(mem);
        self.carry_out_leaving(mem);
    }

    /// The plan over all machines as the leader sees it: with those that boot, what will be missing once
    /// they are up; without, what has no place now.
    pub fn forecast(&self, view: &ClusterState, booting: bool) -> Schedule {
        let wall = wall();
        let late = not_expected(view, wall, &|id| self.known_up(id));
        scheduling::schedule(&SchedulingInput {
            view,
            wall_clock: wall,
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            schedulable: &|id, h| {
                let counts = match h.state {
                    MachineState::Up => true,
                    MachineState::Booting => booting && !late.contains(id),
                    _ => false,
                };
                counts.then_some(SchedulableMachine {
                    session: h.session,
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

    /// Whether a machine is up, by its own reports or by its owner's word, whatever its key says.
    fn known_up(&self, id: &MachineId) -> bool {
        self.membership.reported_ready_by_peer(id)
            || self
                .workers
                .machines()
                .get(id)
                .is_some_and(WorkerState::fenced)
    }

    async fn read_types(&self) {
        let a = self
            .http
            .call(self.settings.cloud, Method::Get, TYPES, None, LIMIT)
            .await;
        let Ok(t) = a.and_then(|a| a.ok::<MachineTypes>()) else {
            tracing::info!("machine types: no answer");
            return;
        };
        let known: Vec<_> = self
            .watch_cache
            .view()
            .machine_types
            .values()
            .cloned()
            .collect();
        let mut new = t.machine_types;
        new.sort_by(|a, b| a.name.cmp(&b.name));
        if encode(&known) == encode(&new) || new.is_empty() {
            return;
        }
        let limits = self.state_limits();
        let mut puts: Vec<Mutation> = vec![Mutation::Put {
            key: keys::TYPES.into(),
            value: to_value(&new),
            lease: None,
        }];
        if json_size(&new) > self.value_limit() {
            // Each in a value of its own, those that changed.
            puts = new
                .iter()
                .filter(|t| !known.iter().any(|k| encode(k) == encode(t)))
                .map(|t| Mutation::Put {
                    key: keys::machine_type(&t.name),
                    value: to_value(t),
                    lease: None,
                })
                .collect();
        }
        for chunk in puts.chunks(limits.max_mutations) {
            let t = Transaction {
                preconditions: Vec::new(),
                mutations: chunk.to_vec(),
            };
            self.watch_cache.transaction(&t).await;
        }
    }

    /// Machines whose names fit into one charter.
    pub fn machines_per_request(&self) -> usize {
        let names = self.value_limit().saturating_sub(REQUEST_BYTES) / NAME_BYTES;
        names.clamp(1, MACHINES_PER_REQUEST)
    }

    async fn read_list(&self, mem: &mut Memory) {
        let asked = wall();
        let mut all: BTreeMap<String, crate::wire::cloud::ListedMachine> = BTreeMap::new();
        let mut after = String::new();
        loop {
            let path = format!("{MACHINES_PATH}?after={after}&most=500");
            let a = self
                .http
                .call(self.settings.cloud, Method::Get, &path, None, LIMIT)
                .await;
            let Ok(page) = a.and_then(|a| a.ok::<Page>()) else {
                tracing::info!("machine list: no answer");
                return;
            };
            let Some(last) = page.machines.last().map(|h| h.id.clone()) else {
                break;
            };
            let more = page.more && last > after;
            after = last;
            all.extend(page.machines.into_iter().map(|h| (h.id.clone(), h)));
            if !more {
                break;
            }
        }
        let old = self.settings.list_lag * 3 + 10 * SECOND;
        mem.returned.retain(|_, at| asked.saturating_sub(*at) < old);
        let mut puts: Vec<(String, MachineRecord)> = Vec::new();
        let mut found: BTreeMap<(String, String, bool), Vec<(String, Micros)>> = BTreeMap::new();
        {
            let view = self.watch_cache.view();
            let mut put = |id: &str, h: &MachineRecord| puts.push((id.to_string(), h.clone()));
            for (id, l) in &all {
                if mem.returned.contains_key(id) {
                    continue;
                }
                match view.machines.get(id.as_str()) {
                    None => {
                        // Returned and gone, whatever a list that lags says.
                        if view.deleted(&keys::machine(id)) {
                            continue;
                        }
                        let age = from_secs(l.age_s);
                        found
                            .entry((l.machine_type.clone(), l.zone.clone(), l.spot))
                            .or_default()
                            .push((id.clone(), asked.saturating_sub(age)));
                    }
                    Some(h)
                        if l.status == ListedStatus::Failed
                            && !matches!(h.state, MachineState::Lost | MachineState::Returning) =>
                    {
                        put(
                            id,
                            &MachineRecord {
                                state: MachineState::Lost,
                                ..h.clone()
                            },
                        );
                    }
                    Some(_) => {}
                }
            }
            // Taken while it booted: nobody would ever hear of it. The list may lag and go back,
            // so it must be old enough and missing more than once; then it is returned, which
            // proves that it is gone.
            for (id, h) in &view.machines {
                if all.contains_key(&**id)
                    || h.state != MachineState::Booting
                    || asked.saturating_sub(h.rented_at) < old
                {
                    mem.missing.remove(id);
                    continue;
                }
                let n = mem.missing.entry(id.clone()).or_default();
                *n += 1;
                if *n >= 3 {
                    put(
                        id,
                        &MachineRecord {
                            state: MachineState::Lost,
                            ..h.clone()
                        },
                    );
                }
            }
        }
        // Machines that nobody knows are used: they are paid for. One write for many of them.
        for ((kind, zone, spot), list) in found {
            for chunk in list.chunks(self.machines_per_request()) {
                let c = ScaleOutRequest {
                    machine_type: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: chunk.len() as u32,
                    requested_at: chunk.iter().map(|x| x.1).max().unwrap_or(asked),
                    machines: chunk.iter().map(|x| x.0.clone()).collect(),
                };
                let name = self.scale_out_request_name();
                self.write_scale_out_request(&name, &c).await;
            }
        }
        for chunk in puts.chunks(self.state_limits().max_mutations) {
            let mut t = Transaction::default();
            {
                let view = self.watch_cache.view();
                for (id, h) in chunk {
                    put_machine(&mut t, &view, id, h);
                }
            }
            if !t.mutations.is_empty() {
                self.watch_cache.transaction(&t).await;
            }
        }
    }

    /// How many changes may go into bookkeeping now: users and placements come first.
    fn to_spare(&self) -> usize {
        let (level, burst) = self.watch_cache.client().write_level();
        (level - burst * KEEP).max(0.0) as usize
    }

    async fn mark(&self, ids: &[MachineId], state: MachineState) {
        for chunk in ids.chunks(self.state_limits().max_mutations) {
            let n = match state {
                // Room that work waits for.
                MachineState::Up => chunk.len(),
                // Each is money saved until the day ends: never starved for good.
                _ => {
                    let least = if self.limits().packed {
                        MARKS_PACKED
                    } else {
                        MARKS
                    };
                    self.to_spare().max(least).min(chunk.len())
                }
            };
            let chunk = &chunk[..n];
            // An empty machine must still be empty: a placement does not change its key, so read
            // once more what was written since the decision.
            let returning = state == MachineState::Returning;
            if returning && !self.watch_cache.linearizable_read().await {
                return;
            }
            let mut t = Transaction::default();
            {
                let view = self.watch_cache.view();
                for id in chunk {
                    let Some(h) = view.machines.get(id) else {
                        continue;
                    };
                    if returning && view.tasks_on(id).is_some() {
                        continue;
                    }
                    // Guarded: a placement made meanwhile guards the same key.
                    put_machine(&mut t, &view, id, &MachineRecord { state, ..h.clone() });
                }
            }
            if t.mutations.is_empty() {
                continue;
            }
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&t).await {
                tracing::info!(machines = t.mutations.len(), ?state, "marked");
            }
        }
    }

    /// Marks machines as returning, many with one write: when a deployment shrinks, a write for each
    /// would take longer than the work that is left.
    async fn leave(&self, ids: &[MachineId]) {
        for chunk in ids.chunks(self.machines_per_request()) {
            // See `mark`: they must still be empty.
            if !self.watch_cache.linearizable_read().await {
                return;
            }
            let names: Vec<MachineId> = {
                let v = self.watch_cache.view();
                chunk
                    .iter()
                    .filter(|id| {
                        v.tasks_on(id).is_none()
                            && v.machines
                                .get(*id)
                                .is_some_and(|h| h.state != MachineState::Returning)
                    })
                    .cloned()
                    .collect()
            };
            if names.is_empty() {
                continue;
            }
            let name = self.scale_out_request_name();
            let count = names.len();
            let l = TerminationBatch {
                machines: names,
                ..TerminationBatch::default()
            };
            let held = vec![keys::LEADER.into()];
            let t = mark_leaving(&self.watch_cache.view(), &name, &l, held);
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&t).await {
                tracing::info!(machines = count, "returning");
            }
        }
    }

    /// Returns the machines of every such write to the cloud; also those of older leaders.
    fn carry_out_leaving(self: &Rc<Controller>, mem: &mut Memory) {
        let list: Vec<(String, TerminationBatch)> = {
            let v = self.watch_cache.view();
            v.termination_batches
                .iter()
                .filter(|(n, l)| !l.terminated && !mem.under_way.borrow().contains(*n))
                .map(|(n, l)| (n.clone(), l.clone()))
                .collect()
        };
        let wall = wall();
        for (name, l) in list {
            for id in &l.machines {
                mem.returned.insert(id.to_string(), wall);
            }
            mem.under_way.borrow_mut().insert(name.clone());
            let n = self.clone();
            let under_way = mem.under_way.clone();
            self.executor
                .spawn(async move {
                    n.return_leaving(&name, l).await;
                    under_way.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    async fn return_leaving(&self, name: &str, mut l: TerminationBatch) {
        let key = keys::termination_batch(name);
        if !self.watch_cache.linearizable_read().await {
            return self.sleep(SECOND / 4).await;
        }
        // A placement that did not know of it yet: that machine stays.
        let busy = if l.declared_dead {
            0
        } else {
            let v = self.watch_cache.view();
            let before = l.machines.len();
            l.machines.retain(|id| v.tasks_on(id).is_none());
            before - l.machines.len()
        };
        if busy == 0 {
            let body = encode(&MachineNames {
                machines: l.machines.iter().map(|i| i.to_string()).collect(),
            });
            let a = self
                .http
                .call(
                    self.settings.cloud,
                    Method::Post,
                    TERMINATE_PATH,
                    Some(body),
                    LIMIT,
                )
                .await;
            if !a.is_ok_and(|a| a.status == 200) {
                return self.sleep(SECOND).await;
            }
            // Answered 200: they are gone with all that was on them.
            l.terminated = true;
        }
        // If it cannot be written they are returned once more: the cloud ignores names that it does
        // not know.
        self.conclude(key, (!l.machines.is_empty()).then(|| to_value(&l)))
            .await;
    }

    /// Writes what the cloud's answer means for a key, or deletes it, if it is as the view has it.
    async fn conclude(&self, key: String, value: Option<ciborium::Value>) {
        let preconditions = vec![self.watch_cache.view().precondition(key.as_str())];
        let change = match value {
            Some(v) => Mutation::Put {
                key,
                value: v,
                lease: None,
            },
            None => Mutation::Delete { key },
        };
        let t = Transaction {
            preconditions,
            mutations: vec![change],
        };
        if !matches!(
            self.watch_cache.transaction(&t).await,
            TransactionOutcome::Done(_)
        ) {
            self.watch_cache.linearizable_read().await;
            self.sleep(SECOND / 4).await;
        }
    }

    /// Deletes the keys of machines that are gone, with writes that nobody else needs.
    async fn close_leaving(&self) {
        loop {
            // Nobody waits for these: closing machines saves money.
            let (level, burst) = self.watch_cache.client().write_level();
            let n = ((level - burst * FORGET) as usize).min(self.state_limits().max_mutations);
            if n == 0 {
                return;
            }
            let t = forget_gone(&self.watch_cache.view(), n);
            let Some(t) = t else { return };
            match self.watch_cache.transaction(&t).await {
                TransactionOutcome::Done(_) => {}
                _ => return,
            }
        }
    }

    /// A name that nobody used before: of this controller, this life of it, and this rental or return.
    fn scale_out_request_name(&self) -> String {
        let lease = self.membership.lease().unwrap_or(0);
        self.provisioning_errors.name(self.me(), lease)
    }

    async fn write_scale_out_request(&self, name: &str, c: &ScaleOutRequest) {
        let t = {
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
                    value: to_value(c),
                    lease: None,
                }],
            }
        };
        if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&t).await {
            tracing::info!(
                name,
                kind = c.machine_type,
                spot = c.spot,
                count = c.count,
                "renting"
            );
        }
    }

    /// Every charter that is written is asked for until it is answered; also those of older leaders.
    fn execute_scale_out_requests(self: &Rc<Controller>, mem: &Memory) {
        let list: Vec<(String, ScaleOutRequest)> = {
            let v = self.watch_cache.view();
            v.scale_out_requests
                .iter()
                .filter(|(n, c)| c.open() && !mem.under_way.borrow().contains(*n))
                .map(|(n, c)| (n.clone(), c.clone()))
                .collect()
        };
        for (name, c) in list {
            mem.under_way.borrow_mut().insert(name.clone());
            let n = self.clone();
            let under_way = mem.under_way.clone();
            self.executor
                .spawn(async move {
                    n.rent(&name, &c).await;
                    under_way.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    async fn rent(&self, name: &str, c: &ScaleOutRequest) {
        let body = encode(&ProvisionRequest {
            request: name.to_string(),
            machine_type: c.machine_type.clone(),
            zone: c.zone.clone(),
            spot: c.spot,
            count: c.count,
        });
        let asked = wall();
        let a = self
            .http
            .call(
                self.settings.cloud,
                Method::Post,
                MACHINES_PATH,
                Some(body),
                LIMIT,
            )
            .await;
        let refuse = |n: &Controller| {
            n.provisioning_errors.refuse(c, n.clock.now());
        };
        let names = match &a {
            Ok(x) if x.status == 200 => match x.ok::<MachineNames>() {
                Ok(n) => n.machines,
                Err(_) => return self.sleep(SECOND).await,
            },
            Ok(x)
                if x.status == 503 && String::from_utf8_lossy(&x.body).contains("no capacity") =>
            {
                refuse(self);
                Vec::new()
            }
            Ok(x) if x.status == 400 => {
                tracing::warn!(name, "rental refused as malformed");
                refuse(self);
                Vec::new()
            }
            _ => return self.sleep(SECOND).await,
        };
        if !names.is_empty() && names.len() < c.count as usize {
            refuse(self);
        }
        let scale_out_request = (!names.is_empty()).then(|| {
            to_value(&ScaleOutRequest {
                machines: names,
                requested_at: asked,
                ..c.clone()
            })
        });
        // If it cannot be written it is asked for again with the same name: the cloud gives the same
        // answer.
        self.conclude(keys::scale_out_request(name), scale_out_request)
            .await;
    }

    /// Takes machines out of charters that have keys of their own, or are gone; an empty charter goes.
    async fn close_scale_out_requests(&self) {
        let t = shrink_scale_out_request(&self.watch_cache.view(), self.state_limits());
        if let Some(t) = t {
            self.watch_cache.transaction(&t).await;
        }
    }

    fn carry_out_returns(self: &Rc<Controller>, mem: &mut Memory) {
        let ids: Vec<MachineId> = {
            let v = self.watch_cache.view();
            let mut list: Vec<(bool, MachineId)> = v
                .machines
                .iter()
                .filter(|(id, h)| {
                    matches!(h.state, MachineState::Lost | MachineState::Returning)
                        && !v.is_terminating(id)
                        && !mem.returning.borrow().contains(*id)
                })
                .map(|(id, _)| (v.tasks_on(id).is_none(), id.clone()))
                .collect();
            // What is lost with tasks on it first: these wait for the cloud's answer.
            list.sort();
            list.into_iter().map(|x| x.1).take(PER_RETURN).collect()
        };
        if ids.is_empty() {
            return;
        }
        let wall = wall();
        for id in &ids {
            mem.returned.insert(id.to_string(), wall);
        }
        mem.returning.borrow_mut().extend(ids.iter().cloned());
        let n = self.clone();
        let returning = mem.returning.clone();
        self.executor
            .spawn(async move {
                n.give_back(&ids).await;
                let mut r = returning.borrow_mut();
                for id in &ids {
                    r.remove(id);
                }
            })
            .detach();
    }

    async fn give_back(&self, ids: &[MachineId]) {
        let body = encode(&MachineNames {
            machines: ids.iter().map(|i| i.to_string()).collect(),
        });
        let a = self
            .http
            .call(
                self.settings.cloud,
                Method::Post,
                TERMINATE_PATH,
                Some(body),
                LIMIT,
            )
            .await;
        if !a.is_ok_and(|a| a.status == 200) {
            return self.sleep(SECOND).await;
        }
        // Answered 200: the machines and all that was on them are gone. Only now their keys go.
        // First those on which something was: it can start elsewhere now.
        let mut ids = ids.to_vec();
        let with = |id: &MachineId| self.watch_cache.view().tasks_on(id).is_some();
        ids.sort_by_key(|id| !with(id));
        while !ids.is_empty() {
            let urgent = ids.iter().take_while(|id| with(id)).count();
            let n = urgent
                .max(self.to_spare())
                .min(self.state_limits().max_mutations)
                .min(ids.len());
            if n == 0 {
                self.sleep(SECOND / 2).await;
            }
            let chunk: Vec<MachineId> = ids.drain(..n.max(1)).collect();
            let t = Transaction {
                preconditions: Vec::new(),
                mutations: chunk
                    .iter()
                    .map(|id| Mutation::Delete {
                        key: keys::machine(id),
                    })
                    .collect(),
            };
            match self.watch_cache.transaction(&t).await {
                TransactionOutcome::Done(_) => {}
                _ => return self.sleep(SECOND / 2).await,
            }
        }
    }
}

/// Machines by type, whether spot, and state; and those of them with nothing but guests on them.
fn count(v: &ClusterState) -> BTreeMap<(&str, bool, &'static str), (u32, u32)> {
    let mut out = BTreeMap::new();
    for (id, h) in &v.machines {
        let state = match h.state {
            MachineState::Booting => "booting",
            MachineState::Up => "up",
            MachineState::Closing => "closing",
            MachineState::Draining | MachineState::Quarantined => "no longer used",
            MachineState::Lost | MachineState::Returning => "on the way back",
        };
        let c: &mut (u32, u32) = out.entry((&*h.machine_type, h.spot, state)).or_default();
        c.0 += 1;
        c.1 += u32::from(scheduling::backfill_only(v, id, h));
    }
    out
}

/// A charter goes once each of its machines has a key of its own, or was returned. These keys must be
/// there at that moment: without either a machine counts as gone. What one transaction cannot guard
/// is done in steps, and then the charter keeps the other names.
pub fn shrink_scale_out_request(v: &ClusterState, limits: StateLimits) -> Option<Transaction> {
    v.scale_out_requests
        .iter()
        .filter(|(_, c)| !c.open())
        .find_map(|(name, c)| {
            let key = keys::scale_out_request(name);
            let mut t = Transaction {
                preconditions: vec![v.precondition(key.as_str())],
                mutations: Vec::new(),
            };
            let mut rest = Vec::new();
            for n in &c.machines {
                let machine = keys::machine(n);
                let stamp = v.version(&machine);
                if stamp > 0 && t.preconditions.len() < limits.preconditions() {
                    t.preconditions.push(Precondition {
                        version: stamp,
                        key: machine,
                    });
                } else if stamp > 0 || !v.deleted(&machine) {
                    rest.push(n.clone());
                }
            }
            let in_steps = c.machines.len() >= limits.preconditions();
            let change = match rest.len() {
                0 => Mutation::Delete { key },
                // Not for a few at a time: each is a write.
                n if in_steps
                    && t.preconditions.len() == limits.preconditions()
                    && n < c.machines.len() =>
                {
                    Mutation::Put {
                        key,
                        value: to_value(&ScaleOutRequest {
                            machines: rest,
                            ..c.clone()
                        }),
                        lease: None,
                    }
                }
                _ => return None,
            };
            t.mutations.push(change);
            Some(t)
        })
}

/// Deletes up to `n` keys of machines that are gone, and what named them once none is left.
pub fn forget_gone(v: &ClusterState, n: usize) -> Option<Transaction> {
    let mut t = Transaction::default();
    for (name, l) in v.termination_batches.iter().filter(|(_, l)| l.terminated) {
        let mut rest = false;
        for id in &l.machines {
            let key = keys::machine(id);
            if v.version(&key) == 0 {
                continue;
            }
            if t.mutations.len() >= n {
                rest = true;
                break;
            }
            t.mutations.push(Mutation::Delete { key });
        }
        // As long as a charter names one of them, this says that it is gone.
        let named = |c: &ScaleOutRequest| {
            c.machines
                .iter()
                .any(|x| l.machines.iter().any(|y| **y == **x))
        };
        if rest || t.mutations.len() >= n || v.scale_out_requests.values().any(named) {
            continue;
        }
        t.mutations.push(Mutation::Delete {
            key: keys::termination_batch(name),
        });
    }
    (!t.mutations.is_empty()).then_some(t)
}
