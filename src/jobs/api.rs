//! Users' requests: submit, poll, withdraw.

use super::commit::{acceptance, withdraw};
use super::model::{Ids, JobId, Refusal, admit};
use super::pipelines::{Named, answer, final_answer, named};
use crate::controller::Node;
use crate::fairness::service_levels::table;
use crate::ids::HostId;
use crate::scheduling::pending_reason::{self, Reason, Why};
use crate::store::client::Outcome;
use crate::store::cluster_state::{Job, View};
use crate::store::keys;
use crate::time::{SECOND, wall};
use crate::wire::decode;
use crate::wire::peer::{FORWARD, Forward, Forwarded, pack, unpack};
use crate::wire::server::{Ask, Reply};
use crate::wire::user::{JobAnswer, Route, Status, Submission, id_in, route, valid_id};
use crate::wire::worker::TaskStatus;
use foldhash::{HashMap, HashSet};
use http_types::Method;

/// Seconds after which a user who could not be served may come back.
const COME_BACK: u64 = 1;

/// A submission that would have to wait longer for the state service's budget is not taken now.
const QUEUE: crate::time::Micros = SECOND / 2;

/// Jobs of which nothing is at hand are asked for one by one: so many for one submission. A longer
/// list is taken when the user comes back, with the answers kept.
const ASKS: usize = 40;

/// So many waiting jobs are shown to an operator: an answer may hold 64 KiB.
const PIPELINES: usize = 200;

/// Transactions that a withdrawal may take: a placement may come in between, a record may have to be
/// split first.
const TRIES: usize = 12;

/// Why a list of needed jobs is not taken.
enum NoNeeds {
    /// Answered 422.
    Impossible(&'static str),
    /// Answered 503.
    Later,
}

fn later() -> Reply {
    Reply::later(503, COME_BACK)
}

/// Whether a body is a submission that waits for jobs.
pub fn names_jobs(body: &[u8]) -> bool {
    decode::<Submission>(body).is_ok_and(|s| s.waits_on.is_some_and(|l| !l.is_empty()))
}

impl Node {
    /// Answers a user.
    pub async fn on_user(&self, a: Ask) -> Reply {
        match (route(&a.path), a.method) {
            (Some(Route::Submit), Method::Post) => match a.body {
                Some(b) => self.submit(&b).await,
                None => Reply::refusal(400, "the body is cut short or larger than 64 KiB"),
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
        // A peer of the version before would accept it and start it at once.
        if self.feed.view().layout.is_none() && names_jobs(&f.body) {
            return reply;
        }
        let now = self.clock.now();
        let to = self
            .settings
            .siblings
            .iter()
            .find(|s| self.members.serves(&s.name, now))
            .map(|s| s.addr);
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
        answer(&self.feed.view(), id)
    }

    /// The job's state as of now. `Ok(None)`: nobody submitted it. `Err`: cannot tell.
    async fn current(&self, id: &str) -> Result<Option<JobAnswer>, ()> {
        let a = self.as_of_now(id).await?;
        // Of a job that is over nothing is on any machine, whoever hears of it late.
        let confirms = a.as_ref().is_some_and(|a| a.status == Status::Cancelled)
            && self.feed.view().jobs.contains_key(id);
        if confirms && self.members.bound(self.clock.now()) {
            return Err(());
        }
        Ok(a)
    }

    async fn as_of_now(&self, id: &str) -> Result<Option<JobAnswer>, ()> {
        let fin = |a: &JobAnswer| matches!(a.status, Status::Done | Status::Cancelled);
        // A final answer never becomes older.
        let known = self.seen(id);
        if let Some(a) = known.as_ref().filter(|a| fin(a)) {
            return Ok(Some(a.clone()));
        }
        if !self.feed.loaded() || !self.feed.current() {
            return Err(());
        }
        if known.is_none() {
            // Final states are not loaded at the start: ask for this one.
            match self.feed.read_final(&JobId::from(id)).await {
                Ok(Some(f)) => return Ok(Some(final_answer(id, f))),
                Ok(None) => {}
                Err(_) => return Err(()),
            }
        }
        // Anything else needs a read begun after the question: some other node may have told more.
        if !self.feed.barrier().await {
            return Err(());
        }
        // What is told of a job follows from all that it needs: a user who was told that one of them
        // is cancelled must not hear anything else of this one. Not seeing one proves nothing.
        for n in self.unknown_above(id) {
            match self.feed.read_final(&n).await {
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return Err(()),
            }
        }
        Ok(self.seen(id))
    }

    fn unknown_above(&self, id: &str) -> Vec<JobId> {
        self.feed.view().unknown_above(id)
    }

    /// Checks the jobs that a submission names and gives those that count.
    async fn needs(&self, own: &str, names: &[String]) -> Result<Vec<JobId>, NoNeeds> {
        // A node from before would start it at once. 503 until every node knows better.
        if self.feed.view().layout.is_none() || !self.feed.current() {
            return Err(NoNeeds::Later);
        }
        let unknown = match named(&self.feed.view(), own, names) {
            Named::Needs(list) => return Ok(list),
            Named::Impossible(why) => return Err(NoNeeds::Impossible(why)),
            Named::Unknown(list) => list,
        };
        if unknown.len() > ASKS {
            // Those that are over are kept at hand, so that the next try needs to ask for fewer.
            for n in unknown.iter().take(ASKS) {
                let _ = self.feed.read_final(n).await;
            }
            return Err(NoNeeds::Later);
        }
        let mut missing = false;
        for n in &unknown {
            match self.feed.read_final(n).await {
                Ok(f) => missing |= f.is_none(),
                Err(_) => return Err(NoNeeds::Later),
            }
        }
        // Not over: then it is among the unfinished ones, as a read begun now shows them, or nobody
        // accepted it.
        if missing && !self.feed.barrier().await {
            return Err(NoNeeds::Later);
        }
        match named(&self.feed.view(), own, names) {
            Named::Needs(list) => Ok(list),
            Named::Impossible(why) => Err(NoNeeds::Impossible(why)),
            Named::Unknown(_) => Err(NoNeeds::Impossible(
                "waits for a job that was never accepted",
            )),
        }
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
                let id = id_in(body).unwrap_or_default();
                return self.refuse(&id, 400, &e.to_string()).await;
            }
        };
        let ids = s.waits_on.iter().flatten().chain([&s.id]);
        if let Some(id) = ids.into_iter().find(|id| !valid_id(id)) {
            let why = format!("no job id: {id:.40}");
            return self.refuse(&s.id, 400, &why).await;
        }
        if self.seen(&s.id).is_some() {
            return match self.current(&s.id).await {
                Ok(Some(a)) => Reply::with(200, &a),
                _ => later(),
            };
        }
        if !self.feed.loaded() {
            return later();
        }
        let spec = {
            let v = self.feed.view();
            if v.types.is_empty() {
                return later();
            }
            admit(&s, &self.settings, &v.types, wall())
        };
        let spec = match spec {
            Ok(s) => s,
            Err(e) => {
                let status = match e {
                    Refusal::Malformed(_) => 400,
                    Refusal::Impossible(_) => 422,
                };
                return self.refuse(&s.id, status, &e.to_string()).await;
            }
        };
        if !self.feed.current() {
            return later();
        }
        let mut spec = spec;
        let names = s.waits_on.as_deref().unwrap_or_default();
        if !names.is_empty() {
            match self.needs(&s.id, names).await {
                Ok(list) => spec.needs.jobs = Ids(list),
                Err(NoNeeds::Later) => return later(),
                Err(NoNeeds::Impossible(why)) => {
                    let e = Refusal::Impossible(why);
                    return self.refuse(&s.id, 422, &e.to_string()).await;
                }
            }
        }
        if self.feed.client().write_queue() > QUEUE {
            tracing::debug!(
                queue = self.feed.client().write_queue(),
                "submission: too many writes wait"
            );
            return Reply::later(429, COME_BACK);
        }
        // Long lists of needed jobs come in steps before the record.
        for _ in 0..TRIES {
            let steps = acceptance(&self.feed.view(), &s.id, spec.clone(), self.limits());
            let Some(steps) = steps else {
                let why = "names or lists are too long for a value of the state service";
                tracing::debug!(id = s.id, why);
                return Reply::refusal(400, why);
            };
            for t in steps {
                let last = t.then.iter().any(|c| c.key() == keys::job(&s.id));
                match self.feed.txn(&t).await {
                    Outcome::Done(_) => {
                        if last {
                            tracing::debug!(id = s.id, class = s.jobclass, needs = ?s.waits_on, "accepted");
                            return Reply::with(
                                201,
                                &JobAnswer {
                                    id: s.id,
                                    status: Status::Pending,
                                    done: 0,
                                    running: 0,
                                    waits_on: Vec::new(),
                                },
                            );
                        }
                    }
                    Outcome::Conflict(_) => {
                        match self.current(&s.id).await {
                            Ok(Some(a)) => return Reply::with(200, &a),
                            Ok(None) if !last => break,
                            _ => return later(),
                        };
                    }
                    Outcome::Refused(429) => return Reply::later(429, COME_BACK),
                    _ => return later(),
                }
            }
        }
        later()
    }

    /// Answers a submission that cannot be taken. A job that was accepted under its id has its state, whatever
    /// this one says: one that is over is not in every view, and was told 422 where types had changed.
    async fn refuse(&self, id: &str, status: u16, why: &str) -> Reply {
        tracing::debug!(id, status, "submission: {why}");
        if !valid_id(id) {
            return Reply::refusal(status, why);
        }
        match self.current(id).await {
            Ok(Some(a)) => Reply::with(200, &a),
            Ok(None) => Reply::refusal(status, why),
            Err(()) => later(),
        }
    }

    async fn withdraw(&self, id: &str) -> Reply {
        if !valid_id(id) {
            return Reply::status(404);
        }
        for _ in 0..TRIES {
            match self.current(id).await {
                Ok(Some(a)) if matches!(a.status, Status::Done | Status::Cancelled) => {
                    return Reply::with(200, &a);
                }
                Ok(Some(_)) if self.members.bound(self.clock.now()) => return later(),
                Ok(Some(_)) => {}
                Ok(None) => return Reply::status(404),
                Err(()) => return later(),
            }
            let t = withdraw(&self.feed.view(), &JobId::from(id), self.limits());
            let Some(t) = t else { continue };
            match self.feed.txn(&t).await {
                Outcome::Done(_) => {}
                Outcome::Conflict(_) => {}
                _ => return later(),
            }
        }
        later()
    }

    /// Why jobs wait, as this controller sees it: failures and images are known of its own machines.
    fn reasons(&self, v: &View) -> impl Fn(&JobId, &Job) -> Reason + use<> {
        let plan = self.forecast(v, false);
        let now = self.clock.now();
        let mut fetching: HashMap<JobId, u32> = HashMap::default();
        for m in self.fleet.machines().values() {
            let tasks = m.tasks.iter();
            for ((job, _), _) in tasks.filter(|(_, t)| t.status == TaskStatus::Fetching) {
                *fetching.entry(job.clone()).or_default() += 1;
            }
        }
        let failed: HashSet<JobId> = v
            .waiting()
            .filter(|(id, _)| self.fleet.backs_off(id, now))
            .map(|(id, _)| id.clone())
            .collect();
        move |id, j| {
            let n = fetching.get(id).copied().unwrap_or(0);
            pending_reason::why(&plan, id, j, failed.contains(id), n)
        }
    }

    /// What an operator may look at, over the controllers' own address.
    pub fn inspect(&self, path: &str) -> Reply {
        if !self.feed.loaded() {
            return Reply::refusal(
                503,
                "the state service has not answered yet: this controller knows nothing",
            );
        }
        let v = self.feed.view();
        match path {
            "/inspect/members" => Reply::with(200, &(&v.members, &v.leader)),
            "/inspect/parts" => Reply::with(200, &v.parts),
            "/inspect/machines" => {
                let m: std::collections::BTreeMap<&str, _> = v
                    .hosts
                    .iter()
                    .map(|(id, h)| {
                        let n = v.tasks_on(id).map_or(0, |m| m.len());
                        let id: &HostId = id;
                        (&**id, (h, n))
                    })
                    .collect();
                Reply::with(200, &m)
            }
            "/inspect/layout" => Reply::with(200, &(&v.versions, &v.layout)),
            "/inspect/pipelines" => {
                let m: std::collections::BTreeMap<&str, _> = v
                    .jobs
                    .iter()
                    .filter(|(_, j)| !j.needs.is_empty())
                    .filter_map(|(id, _)| {
                        let id: &str = id;
                        Some((id, answer(&v, id)?))
                    })
                    .take(PIPELINES)
                    .collect();
                Reply::with(200, &m)
            }
            "/inspect/served" => {
                let rows = table(&v, &self.settings.objectives, wall());
                Reply::with(200, &rows)
            }
            "/inspect/jobs" => {
                Reply::with(200, &pending_reason::count(&v, wall(), &self.reasons(&v)))
            }
            p if p.starts_with("/inspect/jobs/") => {
                let id: JobId = p["/inspect/jobs/".len()..].into();
                match v.jobs.get(&id) {
                    Some(j) => {
                        let why = self.reasons(&v)(&id, j);
                        let needs: Vec<&str> = match why {
                            Some((Why::Needs, _)) => j.needs.iter().map(|n| &**n).collect(),
                            _ => Vec::new(),
                        };
                        Reply::with(200, &(answer(&v, &id), why, needs))
                    }
                    None => Reply::refusal(404, "not among the unfinished jobs; see coppergw show"),
                }
            }
            "/inspect/fairness" => Reply::with(200, &(&v.counts, &v.raises)),
            _ => Reply::status(404),
        }
    }
}
