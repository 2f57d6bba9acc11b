//! Users' requests: submit, poll, withdraw.

use super::model::{Block, Final, JobId, Record, Refusal, admit};
use crate::node::Node;
use crate::store::client::Outcome;
use crate::store::keys;
use crate::time::{SECOND, wall};
use crate::wire::peer::{FORWARD, Forward, Forwarded, pack, unpack};
use crate::wire::server::{Ask, Reply};
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::user::{JobAnswer, Route, Status, Submission, route, valid_id};
use crate::wire::{decode, from_value, to_value};
use http_types::Method;
use std::rc::Rc;

/// Seconds after which a user who could not be served may come back.
const COME_BACK: u64 = 1;

/// A submission that would have to wait longer for the state service's budget is not taken now.
const QUEUE: crate::time::Micros = SECOND / 2;

fn later() -> Reply {
    Reply::later(503, COME_BACK)
}

fn final_answer(id: &str, f: Final) -> JobAnswer {
    JobAnswer {
        id: id.into(),
        status: if f.cancelled {
            Status::Cancelled
        } else {
            Status::Done
        },
        done: f.done,
        running: 0,
    }
}

impl Node {
    /// Answers a user.
    pub async fn on_user(&self, a: Ask) -> Reply {
        match (route(&a.path), a.method) {
            (Some(Route::Submit), Method::Post) => match a.body {
                Some(b) => self.submit(&b).await,
                None => Reply::status(400),
            },
            (Some(Route::Job(id)), Method::Get) => self.poll(id).await,
            (Some(Route::Withdraw(id)), Method::Post) => self.withdraw(id).await,
            (Some(_), _) => Reply::status(405),
            (None, _) => Reply::status(404),
        }
    }

    /// Answers a user; what cannot be answered for want of the state service is passed on to a peer
    /// that reaches it. A request carried out twice does no harm: its id is the same.
    pub async fn on_user_or_forward(&self, a: Ask) -> Reply {
        let forward = a.body.as_ref().map(|b| Forward {
            post: a.method == Method::Post,
            path: a.path.clone(),
            body: b.clone(),
        });
        let reply = self.on_user(a).await;
        let (503, Some(f)) = (reply.status, forward) else {
            return reply;
        };
        let now = self.clock.now();
        let to = {
            let peers = self.peers.borrow();
            self.settings
                .siblings
                .iter()
                .find(|s| {
                    peers
                        .get(&s.name)
                        .is_some_and(|p| p.state_ok && now.saturating_sub(p.heard) < 2 * SECOND)
                })
                .map(|s| s.addr)
        };
        let Some(addr) = to else { return reply };
        let a = self
            .http
            .call(addr, Method::Post, FORWARD, Some(pack(&f)), SECOND)
            .await;
        match a.ok().and_then(|a| unpack::<Forwarded>(&a.body)) {
            Some(f) => Reply {
                status: f.status,
                body: f.body,
                retry_after: f.retry_after,
            },
            None => reply,
        }
    }

    /// Answers a request that a peer passed on.
    pub async fn on_forward(&self, body: &[u8]) -> Reply {
        let Some(f) = unpack::<Forward>(body) else {
            return Reply::status(400);
        };
        let method = if f.post { Method::Post } else { Method::Get };
        let r = self
            .on_user(Ask {
                method,
                path: f.path,
                body: Some(f.body),
            })
            .await;
        Reply {
            status: 200,
            body: pack(&Forwarded {
                status: r.status,
                body: r.body,
                retry_after: r.retry_after,
            }),
            retry_after: None,
        }
    }

    /// The job's state in the view.
    fn seen(&self, id: &str) -> Option<JobAnswer> {
        let v = self.view.borrow();
        if let Some(f) = v.fin(id) {
            return Some(final_answer(id, f));
        }
        let j = v.jobs.get(id)?;
        Some(JobAnswer {
            id: id.into(),
            status: if j.spec.cancelled {
                Status::Cancelled
            } else if j.placed > 0 {
                Status::Running
            } else {
                Status::Pending
            },
            done: j.done,
            running: j.placed,
        })
    }

    /// The job's state as of now. `Ok(None)`: nobody submitted it. `Err`: cannot tell.
    async fn current(&self, id: &str) -> Result<Option<JobAnswer>, ()> {
        let fin = |a: &JobAnswer| matches!(a.status, Status::Done | Status::Cancelled);
        // A final answer never becomes older.
        let known = self.seen(id);
        if let Some(a) = known.as_ref().filter(|a| fin(a)) {
            return Ok(Some(a.clone()));
        }
        if !self.loaded.get() || !self.state_ok() {
            return Err(());
        }
        if known.is_none() {
            // Final states are not loaded at the start: ask for this one.
            match self.store.get(&keys::fin(id), SECOND).await {
                Ok(Ok(item)) => {
                    let f: Final = from_value(&item.v).ok_or(())?;
                    self.view.borrow_mut().remember(&JobId::from(id), f);
                    return Ok(Some(final_answer(id, f)));
                }
                Ok(Err(_)) => {}
                Err(_) => return Err(()),
            }
        }
        // Anything else needs a read begun after the question: some other node may have told more.
        if !self.barrier().await {
            return Err(());
        }
        Ok(self.seen(id))
    }

    async fn poll(&self, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::status(404);
        }
        match self.current(id).await {
            Ok(Some(a)) => Reply::with(200, &a),
            Ok(None) => Reply::status(404),
            Err(()) => later(),
        }
    }

    async fn submit(&self, body: &[u8]) -> Reply {
        let s: Submission = match decode(body) {
            Ok(s) => s,
            Err(e) => {
                tracing::debug!("submission: {e}");
                return Reply::status(400);
            }
        };
        if !valid_id(&s.id) {
            return Reply::status(400);
        }
        if self.seen(&s.id).is_some() {
            return match self.current(&s.id).await {
                Ok(Some(a)) => Reply::with(200, &a),
                _ => later(),
            };
        }
        if !self.loaded.get() {
            return later();
        }
        let spec = {
            let v = self.view.borrow();
            if v.types.is_empty() {
                return later();
            }
            admit(&s, &self.settings, &v.types, wall())
        };
        let spec = match spec {
            Ok(s) => s,
            Err(Refusal::Malformed(why)) => {
                tracing::debug!(id = s.id, why, "malformed");
                return Reply::status(400);
            }
            Err(Refusal::Impossible(why)) => {
                tracing::debug!(id = s.id, why, "can never run");
                return Reply::status(422);
            }
        };
        if !self.state_ok() {
            return later();
        }
        if self.store.write_queue() > QUEUE {
            return Reply::later(429, COME_BACK);
        }
        let t = Txn {
            guards: vec![
                Guard {
                    path: keys::job(&s.id),
                    stamp: 0,
                },
                Guard {
                    path: keys::fin(&s.id),
                    stamp: 0,
                },
            ],
            then: vec![Change::Put {
                put: keys::job(&s.id),
                v: to_value(&Record(spec, Block::default())),
                permit: None,
            }],
        };
        match self.store.txn(&t).await {
            Outcome::Done(rev) => {
                self.wrote(&t, rev);
                Reply::with(
                    201,
                    &JobAnswer {
                        id: s.id,
                        status: Status::Pending,
                        done: 0,
                        running: 0,
                    },
                )
            }
            Outcome::Conflict(_) => match self.current(&s.id).await {
                Ok(Some(a)) => Reply::with(200, &a),
                _ => later(),
            },
            Outcome::Refused(429) => Reply::later(429, COME_BACK),
            _ => later(),
        }
    }

    async fn withdraw(&self, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::status(404);
        }
        // A placement of the job may come in between.
        for _ in 0..6 {
            match self.current(id).await {
                Ok(Some(a)) if matches!(a.status, Status::Done | Status::Cancelled) => {
                    return Reply::with(200, &a);
                }
                Ok(Some(_)) => {}
                Ok(None) => return Reply::status(404),
                Err(()) => return later(),
            }
            let t = {
                let v = self.view.borrow();
                let Some(j) = v.jobs.get(id) else { continue };
                let mut spec = j.spec.as_ref().clone();
                spec.cancelled = true;
                let key = keys::job(id);
                Txn {
                    guards: vec![Guard {
                        path: key.clone(),
                        stamp: v.stamp(&key),
                    }],
                    then: vec![Change::Put {
                        put: key,
                        v: to_value(&(spec, &j.blocks[0])),
                        permit: None,
                    }],
                }
            };
            match self.store.txn(&t).await {
                Outcome::Done(rev) => self.wrote(&t, rev),
                Outcome::Conflict(_) => {}
                _ => return later(),
            }
        }
        later()
    }

    /// What an operator may look at, over the controllers' own address.
    pub fn inspect(&self, path: &str) -> Reply {
        let v = self.view.borrow();
        match path {
            "/inspect/members" => Reply::with(200, &(&v.members, &v.leader)),
            "/inspect/parts" => Reply::with(200, &v.parts),
            "/inspect/machines" => {
                let m: std::collections::BTreeMap<&str, _> = v
                    .hosts
                    .iter()
                    .map(|(id, h)| {
                        let n = v.tasks_on(id).map_or(0, |m| m.len());
                        let id: &Rc<str> = id;
                        (&**id, (h, n))
                    })
                    .collect();
                Reply::with(200, &m)
            }
            "/inspect/fairness" => Reply::with(200, &(&v.counts, &v.raises)),
            _ => Reply::status(404),
        }
    }
}
