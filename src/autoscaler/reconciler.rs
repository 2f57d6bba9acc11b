//! The leader's loop: machine types, list, rentals, returns.

use super::model::{Charter, Host, HostState, Leaving};
use super::{Outlook, decide, mark_leaving, not_expected, put_host};
use crate::controller::Node;
use crate::ids::HostId;
use crate::scheduling::{self, Open, Plan, Scene};
use crate::settings::StateLimits;
use crate::store::client::Outcome;
use crate::store::cluster_state::View;
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs, wall};
use crate::wire::cloud::{HOSTS, HostStatus, Names, Page, RETURN, Rental, TYPES, Types};
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::{encode, json_size, to_value};
use crate::workers::Machine;
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
const PER_CHARTER: usize = 50;
/// Bytes of a charter beside the names, and of a name: the cloud's are shorter by far.
const CHARTER_BYTES: usize = 256;
const NAME_BYTES: usize = 24;
/// A refused combination is not asked for again so soon.
const REFUSED: Micros = 8 * SECOND;

/// Rental combinations that the cloud refused: type, zone, kind; until when they are not tried.
#[derive(Default)]
pub struct Rentals {
    refused: RefCell<HashMap<(String, String, bool), Micros>>,
    /// Names that this process gave to rentals and returns. It never starts again: who loses the lead
    /// and has it back under the same lease would ask the cloud with a name that was answered, and get
    /// machines that are long gone.
    named: Cell<u64>,
}

impl Rentals {
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
    fn refuse(&self, c: &Charter, now: Micros) {
        self.refused
            .borrow_mut()
            .insert((c.kind.clone(), c.zone.clone(), c.spot), now + REFUSED);
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
    idle_since: HashMap<HostId, Micros>,
    /// Machines returned: the list may still show them.
    returned: HashMap<String, Micros>,
    /// How often a machine was missing from the list.
    missing: HashMap<HostId, u32>,
    decide_at: Micros,
    decide_every: Micros,
    under_way: Rc<RefCell<HashSet<String>>>,
    returning: Rc<RefCell<HashSet<HostId>>>,
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

impl Node {
    /// Leads while we are the leader.
    pub async fn lead_loop(self: Rc<Node>) {
        let mut mem = Memory::from(self.clock.now());
        loop {
            self.sleep(LOOK).await;
            if !self.feed.loaded() || !self.feed.current() {
                continue;
            }
            if !self.leads().await {
                mem = Memory::from(self.clock.now());
                continue;
            }
            self.lead(&mut mem).await;
        }
    }

    async fn lead(self: &Rc<Node>, mem: &mut Memory) {
        let now = self.clock.now();
        if now.saturating_sub(mem.types_at) > TYPES_EVERY || self.feed.view().types.is_empty() {
            mem.types_at = now;
            self.read_types().await;
        }
        let every = (self.settings.list_lag / 2).max(2 * SECOND);
        if now.saturating_sub(mem.list_at) > every {
            mem.list_at = now;
            self.read_list(mem).await;
            self.clean().await;
            self.close_charters().await;
            self.close_leaving().await;
        }
        if now.saturating_sub(mem.round_at) >= self.policy.fairness_round {
            mem.round_at = now;
            if tracing::enabled!(tracing::Level::DEBUG) {
                tracing::debug!(machines = ?count(&self.feed.view()), "fleet");
            }
            self.fairness_round().await;
        }
        self.carry_out_charters(mem);
        self.carry_out_returns(mem);
        self.carry_out_leaving(mem);
        let begun = self.clock.now();
        if begun.saturating_sub(mem.decide_at) < mem.decide_every {
            return;
        }
        mem.decide_at = begun;
        let decision = {
            let view = self.feed.view();
            let wall = wall();
            let forecast = self.forecast(&view, true);
            mem.idle_since.retain(|id, _| {
                view.hosts
                    .get(id)
                    .is_some_and(|h| scheduling::only_guests(&view, id, h))
            });
            for (id, h) in &view.hosts {
                if h.state == HostState::Up && scheduling::only_guests(&view, id, h) {
                    mem.idle_since.entry(id.clone()).or_insert(wall);
                }
            }
            let is_refused = |k: &str, z: &str, s: bool| self.rentals.refused(k, z, s, now);
            decide(&Outlook {
                view: &view,
                forecast: &forecast,
                policy: &self.policy,
                objectives: &self.settings.objectives,
                teams: &self.settings.teams,
                wall,
                refused: &is_refused,
                idle_since: &mem.idle_since,
                per_charter: self.per_charter(),
                // A new leader has not heard yet what the owners know.
                up: &|id| now.saturating_sub(mem.since) < NEWS || self.known_up(id),
            })
        };
        let took = self.clock.now().saturating_sub(begun);
        mem.decide_every = DECIDE.max(took * DECIDE_REST);
        if self.limits().layout {
            self.leave(&decision.give_back).await;
        } else {
            self.mark(&decision.give_back, HostState::Returning).await;
        }
        self.mark(&decision.close, HostState::Closing).await;
        self.mark(&decision.reopen, HostState::Up).await;
        for c in decision.rent {
            let name = self.charter_name();
            self.write_charter(&name, &c).await;
        }
        self.carry_out_charters(mem);
        self.carry_out_returns(mem);
        self.carry_out_leaving(mem);
    }

    /// The plan over all machines as the leader sees it: with those that boot, what will be missing once
    /// they are up; without, what has no place now.
    pub fn forecast(&self, view: &View, booting: bool) -> Plan {
        let wall = wall();
        let late = not_expected(view, wall, &|id| self.known_up(id));
        scheduling::plan(&Scene {
            view,
            wall,
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            open: &|id, h| {
                let counts = match h.state {
                    HostState::Up => true,
                    HostState::Booting => booting && !late.contains(id),
                    _ => false,
                };
                counts.then_some(Open {
                    session: h.session,
                    mine: true,
                })
            },
            freed: &HashMap::new(),
            held_back: &|_| false,
            home: &|_| true,
            mine: &|_| true,
            gangs: true,
            arrays: true,
            steps: true,
            forecast: true,
            writes: None,
        })
    }

    /// Whether a machine is up, by its own reports or by its owner's word, whatever its key says.
    fn known_up(&self, id: &HostId) -> bool {
        self.members.told_up(id) || self.fleet.machines().get(id).is_some_and(Machine::fenced)
    }

    async fn read_types(&self) {
        let a = self
            .http
            .call(self.settings.cloud, Method::Get, TYPES, None, LIMIT)
            .await;
        let Ok(t) = a.and_then(|a| a.ok::<Types>()) else {
            tracing::info!("machine types: no answer");
            return;
        };
        let known: Vec<_> = self.feed.view().types.values().cloned().collect();
        let mut new = t.rigs;
        new.sort_by(|a, b| a.sku.cmp(&b.sku));
        if encode(&known) == encode(&new) || new.is_empty() {
            return;
        }
        let limits = self.state_limits();
        let mut puts: Vec<Change> = vec![Change::Put {
            put: keys::TYPES.into(),
            v: to_value(&new),
            permit: None,
        }];
        if json_size(&new) > self.value_limit() {
            // Each in a value of its own, those that changed.
            puts = new
                .iter()
                .filter(|t| !known.iter().any(|k| encode(k) == encode(t)))
                .map(|t| Change::Put {
                    put: keys::machine_type(&t.sku),
                    v: to_value(t),
                    permit: None,
                })
                .collect();
        }
        for chunk in puts.chunks(limits.txn_ops) {
            let t = Txn {
                guards: Vec::new(),
                then: chunk.to_vec(),
            };
            self.feed.txn(&t).await;
        }
    }

    /// Machines whose names fit into one charter.
    pub fn per_charter(&self) -> usize {
        let names = self.value_limit().saturating_sub(CHARTER_BYTES) / NAME_BYTES;
        names.clamp(1, PER_CHARTER)
    }

    async fn read_list(&self, mem: &mut Memory) {
        let asked = wall();
        let mut all: BTreeMap<String, crate::wire::cloud::Listed> = BTreeMap::new();
        let mut after = String::new();
        loop {
            let path = format!("{HOSTS}?after={after}&most=500");
            let a = self
                .http
                .call(self.settings.cloud, Method::Get, &path, None, LIMIT)
                .await;
            let Ok(page) = a.and_then(|a| a.ok::<Page>()) else {
                tracing::info!("machine list: no answer");
                return;
            };
            let Some(last) = page.deckhands.last().map(|h| h.id.clone()) else {
                break;
            };
            let more = page.more && last > after;
            after = last;
            all.extend(page.deckhands.into_iter().map(|h| (h.id.clone(), h)));
            if !more {
                break;
            }
        }
        let old = self.settings.list_lag * 3 + 10 * SECOND;
        mem.returned.retain(|_, at| asked.saturating_sub(*at) < old);
        let mut puts: Vec<(String, Host)> = Vec::new();
        let mut found: BTreeMap<(String, String, bool), Vec<(String, Micros)>> = BTreeMap::new();
        {
            let view = self.feed.view();
            let mut put = |id: &str, h: &Host| puts.push((id.to_string(), h.clone()));
            for (id, l) in &all {
                if mem.returned.contains_key(id) {
                    continue;
                }
                match view.hosts.get(id.as_str()) {
                    None => {
                        // Returned and gone, whatever a list that lags says.
                        if view.deleted(&keys::host(id)) {
                            continue;
                        }
                        let age = from_secs(l.age_s);
                        found
                            .entry((l.rig.clone(), l.yard.clone(), l.loaners))
                            .or_default()
                            .push((id.clone(), asked.saturating_sub(age)));
                    }
                    Some(h)
                        if l.status == HostStatus::Failed
                            && !matches!(h.state, HostState::Lost | HostState::Returning) =>
                    {
                        put(
                            id,
                            &Host {
                                state: HostState::Lost,
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
            for (id, h) in &view.hosts {
                if all.contains_key(&**id)
                    || h.state != HostState::Booting
                    || asked.saturating_sub(h.rented) < old
                {
                    mem.missing.remove(id);
                    continue;
                }
                let n = mem.missing.entry(id.clone()).or_default();
                *n += 1;
                if *n >= 3 {
                    put(
                        id,
                        &Host {
                            state: HostState::Lost,
                            ..h.clone()
                        },
                    );
                }
            }
        }
        // Machines that nobody knows are used: they are paid for. One write for many of them.
        for ((kind, zone, spot), list) in found {
            for chunk in list.chunks(self.per_charter()) {
                let c = Charter {
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: chunk.len() as u32,
                    at: chunk.iter().map(|x| x.1).max().unwrap_or(asked),
                    names: chunk.iter().map(|x| x.0.clone()).collect(),
                };
                let name = self.charter_name();
                self.write_charter(&name, &c).await;
            }
        }
        for chunk in puts.chunks(self.state_limits().txn_ops) {
            let mut t = Txn::default();
            {
                let view = self.feed.view();
                for (id, h) in chunk {
                    put_host(&mut t, &view, id, h);
                }
            }
            if !t.then.is_empty() {
                self.feed.txn(&t).await;
            }
        }
    }

    /// How many changes may go into bookkeeping now: users and placements come first.
    fn to_spare(&self) -> usize {
        let (level, burst) = self.feed.client().write_level();
        (level - burst * KEEP).max(0.0) as usize
    }

    async fn mark(&self, ids: &[HostId], state: HostState) {
        for chunk in ids.chunks(self.state_limits().txn_ops) {
            let n = match state {
                // Room that work waits for.
                HostState::Up => chunk.len(),
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
            let returning = state == HostState::Returning;
            if returning && !self.feed.barrier().await {
                return;
            }
            let mut t = Txn::default();
            {
                let view = self.feed.view();
                for id in chunk {
                    let Some(h) = view.hosts.get(id) else {
                        continue;
                    };
                    if returning && view.tasks_on(id).is_some() {
                        continue;
                    }
                    // Guarded: a placement made meanwhile guards the same key.
                    put_host(&mut t, &view, id, &Host { state, ..h.clone() });
                }
            }
            if t.then.is_empty() {
                continue;
            }
            if let Outcome::Done(_) = self.feed.txn(&t).await {
                tracing::info!(machines = t.then.len(), ?state, "marked");
            }
        }
    }

    /// Marks machines as returning, many with one write: when a deployment shrinks, a write for each
    /// would take longer than the work that is left.
    async fn leave(&self, ids: &[HostId]) {
        for chunk in ids.chunks(self.per_charter()) {
            // See `mark`: they must still be empty.
            if !self.feed.barrier().await {
                return;
            }
            let names: Vec<HostId> = {
                let v = self.feed.view();
                chunk
                    .iter()
                    .filter(|id| {
                        v.tasks_on(id).is_none()
                            && v.hosts
                                .get(*id)
                                .is_some_and(|h| h.state != HostState::Returning)
                    })
                    .cloned()
                    .collect()
            };
            if names.is_empty() {
                continue;
            }
            let name = self.charter_name();
            let count = names.len();
            let l = Leaving {
                names,
                ..Leaving::default()
            };
            let held = vec![keys::LEADER.into()];
            let t = mark_leaving(&self.feed.view(), &name, &l, held);
            if let Outcome::Done(_) = self.feed.txn(&t).await {
                tracing::info!(machines = count, "returning");
            }
        }
    }

    /// Returns the machines of every such write to the cloud; also those of older leaders.
    fn carry_out_leaving(self: &Rc<Node>, mem: &mut Memory) {
        let list: Vec<(String, Leaving)> = {
            let v = self.feed.view();
            v.leaving
                .iter()
                .filter(|(n, l)| !l.gone && !mem.under_way.borrow().contains(*n))
                .map(|(n, l)| (n.clone(), l.clone()))
                .collect()
        };
        let wall = wall();
        for (name, l) in list {
            for id in &l.names {
                mem.returned.insert(id.to_string(), wall);
            }
            mem.under_way.borrow_mut().insert(name.clone());
            let n = self.clone();
            let under_way = mem.under_way.clone();
            self.ex
                .spawn(async move {
                    n.return_leaving(&name, l).await;
                    under_way.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    async fn return_leaving(&self, name: &str, mut l: Leaving) {
        let key = keys::leaving(name);
        if !self.feed.barrier().await {
            return self.sleep(SECOND / 4).await;
        }
        // A placement that did not know of it yet: that machine stays.
        let busy = if l.lost {
            0
        } else {
            let v = self.feed.view();
            let before = l.names.len();
            l.names.retain(|id| v.tasks_on(id).is_none());
            before - l.names.len()
        };
        if busy == 0 {
            let body = encode(&Names {
                deckhands: l.names.iter().map(|i| i.to_string()).collect(),
            });
            let a = self
                .http
                .call(self.settings.cloud, Method::Post, RETURN, Some(body), LIMIT)
                .await;
            if !a.is_ok_and(|a| a.status == 200) {
                return self.sleep(SECOND).await;
            }
            // Answered 200: they are gone with all that was on them.
            l.gone = true;
        }
        // If it cannot be written they are returned once more: the cloud ignores names that it does
        // not know.
        self.conclude(key, (!l.names.is_empty()).then(|| to_value(&l)))
            .await;
    }

    /// Writes what the cloud's answer means for a key, or deletes it, if it is as the view has it.
    async fn conclude(&self, key: String, value: Option<ciborium::Value>) {
        let guards = vec![self.feed.view().guard(key.as_str())];
        let change = match value {
            Some(v) => Change::Put {
                put: key,
                v,
                permit: None,
            },
            None => Change::Delete { remove: key },
        };
        let t = Txn {
            guards,
            then: vec![change],
        };
        if !matches!(self.feed.txn(&t).await, Outcome::Done(_)) {
            self.feed.barrier().await;
            self.sleep(SECOND / 4).await;
        }
    }

    /// Deletes the keys of machines that are gone, with writes that nobody else needs.
    async fn close_leaving(&self) {
        loop {
            // Nobody waits for these: closing machines saves money.
            let (level, burst) = self.feed.client().write_level();
            let n = ((level - burst * FORGET) as usize).min(self.state_limits().txn_ops);
            if n == 0 {
                return;
            }
            let t = forget_gone(&self.feed.view(), n);
            let Some(t) = t else { return };
            match self.feed.txn(&t).await {
                Outcome::Done(_) => {}
                _ => return,
            }
        }
    }

    /// A name that nobody used before: of this controller, this life of it, and this rental or return.
    fn charter_name(&self) -> String {
        let lease = self.members.lease().unwrap_or(0);
        self.rentals.name(self.me(), lease)
    }

    async fn write_charter(&self, name: &str, c: &Charter) {
        let t = {
            let view = self.feed.view();
            Txn {
                guards: vec![
                    Guard {
                        path: keys::charter(name),
                        stamp: 0,
                    },
                    view.guard(keys::LEADER),
                ],
                then: vec![Change::Put {
                    put: keys::charter(name),
                    v: to_value(c),
                    permit: None,
                }],
            }
        };
        if let Outcome::Done(_) = self.feed.txn(&t).await {
            tracing::info!(
                name,
                kind = c.kind,
                spot = c.spot,
                count = c.count,
                "renting"
            );
        }
    }

    /// Every charter that is written is asked for until it is answered; also those of older leaders.
    fn carry_out_charters(self: &Rc<Node>, mem: &Memory) {
        let list: Vec<(String, Charter)> = {
            let v = self.feed.view();
            v.charters
                .iter()
                .filter(|(n, c)| c.open() && !mem.under_way.borrow().contains(*n))
                .map(|(n, c)| (n.clone(), c.clone()))
                .collect()
        };
        for (name, c) in list {
            mem.under_way.borrow_mut().insert(name.clone());
            let n = self.clone();
            let under_way = mem.under_way.clone();
            self.ex
                .spawn(async move {
                    n.rent(&name, &c).await;
                    under_way.borrow_mut().remove(&name);
                })
                .detach();
        }
    }

    async fn rent(&self, name: &str, c: &Charter) {
        let body = encode(&Rental {
            charter: name.to_string(),
            rig: c.kind.clone(),
            yard: c.zone.clone(),
            loaners: c.spot,
            count: c.count,
        });
        let asked = wall();
        let a = self
            .http
            .call(self.settings.cloud, Method::Post, HOSTS, Some(body), LIMIT)
            .await;
        let refuse = |n: &Node| {
            n.rentals.refuse(c, n.clock.now());
        };
        let names = match &a {
            Ok(x) if x.status == 200 => match x.ok::<Names>() {
                Ok(n) => n.deckhands,
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
        let charter = (!names.is_empty()).then(|| {
            to_value(&Charter {
                names,
                at: asked,
                ..c.clone()
            })
        });
        // If it cannot be written it is asked for again with the same name: the cloud gives the same
        // answer.
        self.conclude(keys::charter(name), charter).await;
    }

    /// Takes machines out of charters that have keys of their own, or are gone; an empty charter goes.
    async fn close_charters(&self) {
        let t = shrink_charter(&self.feed.view(), self.state_limits());
        if let Some(t) = t {
            self.feed.txn(&t).await;
        }
    }

    fn carry_out_returns(self: &Rc<Node>, mem: &mut Memory) {
        let ids: Vec<HostId> = {
            let v = self.feed.view();
            let mut list: Vec<(bool, HostId)> = v
                .hosts
                .iter()
                .filter(|(id, h)| {
                    matches!(h.state, HostState::Lost | HostState::Returning)
                        && !v.is_leaving(id)
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
        self.ex
            .spawn(async move {
                n.give_back(&ids).await;
                let mut r = returning.borrow_mut();
                for id in &ids {
                    r.remove(id);
                }
            })
            .detach();
    }

    async fn give_back(&self, ids: &[HostId]) {
        let body = encode(&Names {
            deckhands: ids.iter().map(|i| i.to_string()).collect(),
        });
        let a = self
            .http
            .call(self.settings.cloud, Method::Post, RETURN, Some(body), LIMIT)
            .await;
        if !a.is_ok_and(|a| a.status == 200) {
            return self.sleep(SECOND).await;
        }
        // Answered 200: the machines and all that was on them are gone. Only now their keys go.
        // First those on which something was: it can start elsewhere now.
        let mut ids = ids.to_vec();
        let with = |id: &HostId| self.feed.view().tasks_on(id).is_some();
        ids.sort_by_key(|id| !with(id));
        while !ids.is_empty() {
            let urgent = ids.iter().take_while(|id| with(id)).count();
            let n = urgent
                .max(self.to_spare())
                .min(self.state_limits().txn_ops)
                .min(ids.len());
            if n == 0 {
                self.sleep(SECOND / 2).await;
            }
            let chunk: Vec<HostId> = ids.drain(..n.max(1)).collect();
            let t = Txn {
                guards: Vec::new(),
                then: chunk
                    .iter()
                    .map(|id| Change::Delete {
                        remove: keys::host(id),
                    })
                    .collect(),
            };
            match self.feed.txn(&t).await {
                Outcome::Done(_) => {}
                _ => return self.sleep(SECOND / 2).await,
            }
        }
    }
}

/// Machines by type, whether spot, and state; and those of them with nothing but guests on them.
fn count(v: &View) -> BTreeMap<(&str, bool, &'static str), (u32, u32)> {
    let mut out = BTreeMap::new();
    for (id, h) in &v.hosts {
        let state = match h.state {
            HostState::Booting => "booting",
            HostState::Up => "up",
            HostState::Closing => "closing",
            HostState::Draining | HostState::Sick => "no longer used",
            HostState::Lost | HostState::Returning => "on the way back",
        };
        let c: &mut (u32, u32) = out.entry((&*h.kind, h.spot, state)).or_default();
        c.0 += 1;
        c.1 += u32::from(scheduling::only_guests(v, id, h));
    }
    out
}

/// A charter goes once each of its machines has a key of its own, or was returned. These keys must be
/// there at that moment: without either a machine counts as gone. What one transaction cannot guard
/// is done in steps, and then the charter keeps the other names.
pub fn shrink_charter(v: &View, limits: StateLimits) -> Option<Txn> {
    v.charters
        .iter()
        .filter(|(_, c)| !c.open())
        .find_map(|(name, c)| {
            let key = keys::charter(name);
            let mut t = Txn {
                guards: vec![v.guard(key.as_str())],
                then: Vec::new(),
            };
            let mut rest = Vec::new();
            for n in &c.names {
                let host = keys::host(n);
                let stamp = v.stamp(&host);
                if stamp > 0 && t.guards.len() < limits.guards() {
                    t.guards.push(Guard { stamp, path: host });
                } else if stamp > 0 || !v.deleted(&host) {
                    rest.push(n.clone());
                }
            }
            let in_steps = c.names.len() >= limits.guards();
            let change = match rest.len() {
                0 => Change::Delete { remove: key },
                // Not for a few at a time: each is a write.
                n if in_steps && t.guards.len() == limits.guards() && n < c.names.len() => {
                    Change::Put {
                        put: key,
                        v: to_value(&Charter {
                            names: rest,
                            ..c.clone()
                        }),
                        permit: None,
                    }
                }
                _ => return None,
            };
            t.then.push(change);
            Some(t)
        })
}

/// Deletes up to `n` keys of machines that are gone, and what named them once none is left.
pub fn forget_gone(v: &View, n: usize) -> Option<Txn> {
    let mut t = Txn::default();
    for (name, l) in v.leaving.iter().filter(|(_, l)| l.gone) {
        let mut rest = false;
        for id in &l.names {
            let key = keys::host(id);
            if v.stamp(&key) == 0 {
                continue;
            }
            if t.then.len() >= n {
                rest = true;
                break;
            }
            t.then.push(Change::Delete { remove: key });
        }
        // As long as a charter names one of them, this says that it is gone.
        let named = |c: &Charter| c.names.iter().any(|x| l.names.iter().any(|y| **y == **x));
        if rest || t.then.len() >= n || v.charters.values().any(named) {
            continue;
        }
        t.then.push(Change::Delete {
            remove: keys::leaving(name),
        });
    }
    (!t.then.is_empty()).then_some(t)
}
