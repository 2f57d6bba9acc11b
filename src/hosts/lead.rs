//! The leader's loop: machine types, list, rentals, returns.

use super::model::{Charter, Host, HostState, put_host};
use super::{Outlook, decide};
use crate::node::Node;
use crate::placement::{self, Scene};
use crate::store::client::Outcome;
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs, wall};
use crate::wire::cloud::{HOSTS, HostStatus, Names, Page, RETURN, Rental, TYPES, Types};
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::{encode, to_value};
use http_types::Method;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// How long the cloud may take for an answer.
const LIMIT: Micros = 5 * SECOND;
/// The leader looks this often.
const LOOK: Micros = SECOND / 4;
/// Machine types, for their prices.
const TYPES_EVERY: Micros = 60 * SECOND;
/// A refused combination is not asked for again so soon.
const REFUSED: Micros = 8 * SECOND;

/// What the leader remembers while it leads.
#[derive(Default)]
struct Memory {
    types_at: Micros,
    list_at: Micros,
    round_at: Micros,
    idle_since: HashMap<Rc<str>, Micros>,
    /// Machines returned: the list may still show them.
    returned: HashMap<String, Micros>,
    /// How often a machine was missing from the list.
    missing: HashMap<Rc<str>, u32>,
    charter_no: u64,
    under_way: Rc<RefCell<HashSet<String>>>,
    returning: Rc<RefCell<HashSet<Rc<str>>>>,
}

impl Node {
    /// Leads while we are the leader.
    pub async fn lead_loop(self: Rc<Node>) {
        let mut mem = Memory::default();
        loop {
            self.sleep(LOOK).await;
            if !self.loaded.get() || !self.state_ok() {
                continue;
            }
            if !self.leads().await {
                mem = Memory::default();
                continue;
            }
            self.lead(&mut mem).await;
        }
    }

    async fn lead(self: &Rc<Node>, mem: &mut Memory) {
        let now = self.clock.now();
        if now.saturating_sub(mem.types_at) > TYPES_EVERY || self.view.borrow().types.is_empty() {
            mem.types_at = now;
            self.read_types().await;
        }
        let every = (self.settings.list_lag / 2).max(2 * SECOND);
        if now.saturating_sub(mem.list_at) > every {
            mem.list_at = now;
            self.read_list(mem).await;
            self.clean().await;
        }
        if now.saturating_sub(mem.round_at) >= self.policy.fairness_round {
            mem.round_at = now;
            self.fairness_round().await;
        }
        let decision = {
            let view = self.view.borrow();
            let wall = wall();
            let yes = |_: &str| true;
            let no = |_: &str| false;
            let forecast = placement::plan(&Scene {
                view: &view,
                wall,
                teams: &self.settings.teams,
                objectives: &self.settings.objectives,
                responsive: &yes,
                held_back: &no,
                forecast: true,
            });
            mem.idle_since
                .retain(|id, _| view.hosts.contains_key(id) && view.tasks_on(id).is_none());
            for (id, h) in &view.hosts {
                if h.state == HostState::Up && view.tasks_on(id).is_none() {
                    mem.idle_since.entry(id.clone()).or_insert(wall);
                }
            }
            let refused = self.refused.borrow();
            let is_refused = |k: &str, z: &str, s: bool| {
                refused
                    .get(&(k.to_string(), z.to_string(), s))
                    .is_some_and(|t| *t > now)
            };
            decide(&Outlook {
                view: &view,
                forecast: &forecast,
                policy: &self.policy,
                objectives: &self.settings.objectives,
                wall,
                refused: &is_refused,
                idle_since: &mem.idle_since,
            })
        };
        self.mark(&decision.give_back, HostState::Returning).await;
        self.mark(&decision.close, HostState::Closing).await;
        self.mark(&decision.reopen, HostState::Up).await;
        for c in decision.rent {
            mem.charter_no += 1;
            let name = format!(
                "{}-{}-{}",
                self.me(),
                self.lease.get().unwrap_or(0),
                mem.charter_no
            );
            self.write_charter(&name, &c).await;
        }
        self.carry_out_charters(mem);
        self.carry_out_returns(mem);
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
        let known: Vec<_> = self.view.borrow().types.values().cloned().collect();
        let mut new = t.rigs;
        new.sort_by(|a, b| a.sku.cmp(&b.sku));
        if encode(&known) == encode(&new) || new.is_empty() {
            return;
        }
        let t = Txn {
            guards: Vec::new(),
            then: vec![Change::Put {
                put: keys::TYPES.into(),
                v: to_value(&new),
                permit: None,
            }],
        };
        if let Outcome::Done(rev) = self.store.txn(&t).await {
            self.wrote(&t, rev);
        }
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
        let mut t = Txn::default();
        let mut put = |view: &crate::store::view::View, id: &str, h: &Host| {
            if t.then.len() < self.settings.txn_ops {
                put_host(&mut t, view, id, h);
            }
        };
        {
            let view = self.view.borrow();
            for (id, l) in &all {
                if mem.returned.contains_key(id) {
                    continue;
                }
                match view.hosts.get(id.as_str()) {
                    None => {
                        let age = from_secs(l.age_s);
                        put(
                            &view,
                            id,
                            &Host {
                                kind: l.rig.clone(),
                                zone: l.yard.clone(),
                                spot: l.loaners,
                                addr: l.address.clone(),
                                session: 0,
                                state: if l.status == HostStatus::Failed {
                                    HostState::Lost
                                } else {
                                    HostState::Booting
                                },
                                rented: asked.saturating_sub(age),
                            },
                        );
                    }
                    Some(h)
                        if l.status == HostStatus::Failed
                            && !matches!(h.state, HostState::Lost | HostState::Returning) =>
                    {
                        put(
                            &view,
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
                        &view,
                        id,
                        &Host {
                            state: HostState::Lost,
                            ..h.clone()
                        },
                    );
                }
            }
        }
        if !t.then.is_empty()
            && let Outcome::Done(rev) = self.store.txn(&t).await
        {
            self.wrote(&t, rev);
        }
    }

    async fn mark(&self, ids: &[Rc<str>], state: HostState) {
        for chunk in ids.chunks(self.settings.txn_ops) {
            let mut t = Txn::default();
            {
                let view = self.view.borrow();
                for id in chunk {
                    let Some(h) = view.hosts.get(id) else {
                        continue;
                    };
                    // Guarded: a placement made meanwhile guards the same key.
                    put_host(&mut t, &view, id, &Host { state, ..h.clone() });
                }
            }
            if t.then.is_empty() {
                continue;
            }
            // An empty machine must still be empty: a placement does not change its key, so check
            // once more that nothing was written since the decision.
            let returning = state == HostState::Returning;
            if returning && !self.barrier().await {
                return;
            }
            let still = !returning || {
                let view = self.view.borrow();
                chunk.iter().all(|id| view.tasks_on(id).is_none())
            };
            if still && let Outcome::Done(rev) = self.store.txn(&t).await {
                tracing::info!(machines = t.then.len(), ?state, "marked");
                self.wrote(&t, rev);
            }
        }
    }

    async fn write_charter(&self, name: &str, c: &Charter) {
        let t = {
            let view = self.view.borrow();
            Txn {
                guards: vec![
                    Guard {
                        path: keys::charter(name),
                        stamp: 0,
                    },
                    Guard {
                        path: keys::LEADER.into(),
                        stamp: view.stamp(keys::LEADER),
                    },
                ],
                then: vec![Change::Put {
                    put: keys::charter(name),
                    v: to_value(c),
                    permit: None,
                }],
            }
        };
        if let Outcome::Done(rev) = self.store.txn(&t).await {
            tracing::info!(
                name,
                kind = c.kind,
                spot = c.spot,
                count = c.count,
                "renting"
            );
            self.wrote(&t, rev);
        }
    }

    /// Every charter that is written is asked for until it is answered; also those of older leaders.
    fn carry_out_charters(self: &Rc<Node>, mem: &Memory) {
        let list: Vec<(String, Charter)> = {
            let v = self.view.borrow();
            v.charters
                .iter()
                .filter(|(n, _)| !mem.under_way.borrow().contains(*n))
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
            n.refused.borrow_mut().insert(
                (c.kind.clone(), c.zone.clone(), c.spot),
                n.clock.now() + REFUSED,
            );
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
        let mut rest = names;
        loop {
            let take = rest.len().min(self.settings.txn_ops.saturating_sub(1));
            let now: Vec<String> = rest.drain(..take).collect();
            let mut t = Txn::default();
            {
                let v = self.view.borrow();
                for id in &now {
                    if v.hosts.contains_key(id.as_str()) {
                        continue;
                    }
                    t.guards.push(Guard {
                        path: keys::host(id),
                        stamp: 0,
                    });
                    t.then.push(Change::Put {
                        put: keys::host(id),
                        v: to_value(&Host {
                            kind: c.kind.clone(),
                            zone: c.zone.clone(),
                            spot: c.spot,
                            addr: None,
                            session: 0,
                            state: HostState::Booting,
                            rented: asked,
                        }),
                        permit: None,
                    });
                }
            }
            let last = rest.is_empty();
            if last {
                t.then.push(Change::Delete {
                    remove: keys::charter(name),
                });
            }
            match self.store.txn(&t).await {
                Outcome::Done(rev) => self.wrote(&t, rev),
                // Asked again with the same name: the cloud gives the same answer.
                _ => {
                    self.barrier().await;
                    return self.sleep(SECOND / 4).await;
                }
            }
            if last {
                return;
            }
        }
    }

    fn carry_out_returns(self: &Rc<Node>, mem: &mut Memory) {
        let ids: Vec<Rc<str>> = {
            let v = self.view.borrow();
            v.hosts
                .iter()
                .filter(|(id, h)| {
                    matches!(h.state, HostState::Lost | HostState::Returning)
                        && !mem.returning.borrow().contains(*id)
                })
                .map(|(id, _)| id.clone())
                .take(100)
                .collect()
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

    async fn give_back(&self, ids: &[Rc<str>]) {
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
        for chunk in ids.chunks(self.settings.txn_ops) {
            let t = Txn {
                guards: Vec::new(),
                then: chunk
                    .iter()
                    .map(|id| Change::Delete {
                        remove: keys::host(id),
                    })
                    .collect(),
            };
            match self.store.txn(&t).await {
                Outcome::Done(rev) => self.wrote(&t, rev),
                _ => return self.sleep(SECOND / 2).await,
            }
        }
    }
}
