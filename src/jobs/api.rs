//! Users' requests: submit, poll, withdraw.

use super::commit::{accept_submission, cancel};
use super::model::{AdmissionError, JobId, JobIdList, validate};
use super::pipelines::{DependencyCheck, answer, check_dependencies, final_answer};
use crate::controller::Controller;
use crate::fairness::service_levels::table;
use crate::ids::MachineId;
use crate::scheduling::pending_reason::{self, PendingReason, Reason};
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::time::{SECOND, wall};
use crate::wire::decode;
use crate::wire::peer::{FORWARD, ForwardedRequest, ForwardedResponse, pack, unpack};
use crate::wire::server::{Request, Response};
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

fn later() -> Response {
    Response::later(503, COME_BACK)
}

/// Whether a body is a submission that waits for jobs.
pub fn names_dependencies(body: &[u8]) -> bool {
    decode::<Submission>(body).is_ok_and(|s| s.dependencies.is_some_and(|l| !l.is_empty()))
}

impl Controller {
    /// Answers a user.
    pub async fn on_user(&self, a: Request) -> Response {
        match (route(&a.path), a.method) {
            (Some(Route::Submit), Method::Post) => match a.body {
                Some(b) => self.submit(&b).await,
                None => Response::refusal(400, "the body is cut short or larger than 64 KiB"),
            },
            (Some(Route::Job(id)), Method::Get) => self.poll(id).await,
            (Some(Route::Cancel(id)), Method::Post) => self.cancel(id).await,
            (Some(_), _) => Response::status(405),
            (None, _) => Response::status(404),
        }
    }

    /// Answers a user; what cannot be answered for want of the state service is passed on to a peer
    /// that reaches it. A request carried out twice does no harm: its id is the same.
    pub async fn on_user_or_forward(&self, a: Request) -> Response {
        let forward = a.body.as_ref().map(|b| ForwardedRequest {
            post: a.method == Method::Post,
            path: a.path.clone(),
            body: b.clone(),
        });
        let reply = self.on_user(a).await;
        let (503, Some(f)) = (reply.status, forward) else {
            return reply;
        };
        // A peer of the version before would accept it and start it at once.
        if self.watch_cache.view().layout.is_none() && names_dependencies(&f.body) {
            return reply;
        }
        let now = self.clock.now();
        let to = self
            .settings
            .peers
            .iter()
            .find(|s| self.membership.peer_reaches_state_service(&s.name, now))
            .map(|s| s.address);
        let Some(addr) = to else { return reply };
        let a = self
            .http
            .call(addr, Method::Post, FORWARD, Some(pack(&f)), SECOND)
            .await;
        match a.ok().and_then(|a| unpack::<ForwardedResponse>(&a.body)) {
            Some(f) => Response {
                status: f.status,
                body: f.body,
                retry_after: f.retry_after,
            },
            None => reply,
        }
    }

    /// Answers a request that a peer passed on.
    pub async fn on_forward(&self, body: &[u8]) -> Response {
        let Some(f) = unpack::<ForwardedRequest>(body) else {
            return Response::status(400);
        };
        let method = if f.post { Method::Post } else { Method::Get };
        let r = self
            .on_user(Request {
                method,
                path: f.path,
                body: Some(f.body),
            })
            .await;
        Response {
            status: 200,
            body: pack(&ForwardedResponse {
                status: r.status,
                body: r.body,
                retry_after: r.retry_after,
            }),
            retry_after: None,
        }
    }

    /// The job's state in the view.
    fn seen(&self, id: &str) -> Option<JobAnswer> {
        answer(&self.watch_cache.view(), id)
    }

    /// The job's state as of now. `Ok(None)`: nobody submitted it. `Err`: cannot tell.
    async fn current(&self, id: &str) -> Result<Option<JobAnswer>, ()> {
        let a = self.as_of_now(id).await?;
        // Of a job that is over nothing is on any machine, whoever hears of it late.
        let confirms = a.as_ref().is_some_and(|a| a.status == Status::Cancelled)
            && self.watch_cache.view().jobs.contains_key(id);
        if confirms && self.membership.confirmations_held(self.clock.now()) {
            return Err(());
        }
        Ok(a)
    }

    async fn as_of_now(&self, id: &str) -> Result<Option<JobAnswer>, ()> {
        let finished_job = |a: &JobAnswer| matches!(a.status, Status::Done | Status::Cancelled);
        // A final answer never becomes older.
        let known = self.seen(id);
        if let Some(a) = known.as_ref().filter(|a| finished_job(a)) {
            return Ok(Some(a.clone()));
        }
        if !self.watch_cache.loaded() || !self.watch_cache.current() {
            return Err(());
        }
        if known.is_none() {
            // Final states are not loaded at the start: ask for this one.
            match self.watch_cache.read_finished_job(&JobId::from(id)).await {
                Ok(Some(f)) => return Ok(Some(final_answer(id, f))),
                Ok(None) => {}
                Err(_) => return Err(()),
            }
        }
        // Anything else needs a read begun after the question: some other node may have told more.
        if !self.watch_cache.linearizable_read().await {
            return Err(());
        }
        // What is told of a job follows from all that it needs: a user who was told that one of them
        // is cancelled must not hear anything else of this one. Not seeing one proves nothing.
        for n in self.unknown_above(id) {
            match self.watch_cache.read_finished_job(&n).await {
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return Err(()),
            }
        }
        Ok(self.seen(id))
    }

    fn unknown_above(&self, id: &str) -> Vec<JobId> {
        self.watch_cache.view().unknown_ancestors(id)
    }

    /// Checks the jobs that a submission names and gives those that count.
    async fn needs(&self, own: &str, names: &[String]) -> Result<Vec<JobId>, NoNeeds> {
        // A node from before would start it at once. 503 until every node knows better.
        if self.watch_cache.view().layout.is_none() || !self.watch_cache.current() {
            return Err(NoNeeds::Later);
        }
        let unknown = match check_dependencies(&self.watch_cache.view(), own, names) {
            DependencyCheck::Accepted(list) => return Ok(list),
            DependencyCheck::Impossible(why) => return Err(NoNeeds::Impossible(why)),
            DependencyCheck::Unknown(list) => list,
        };
        if unknown.len() > ASKS {
            // Those that are over are kept at hand, so that the next try needs to ask for fewer.
            for n in unknown.iter().take(ASKS) {
                let _ = self.watch_cache.read_finished_job(n).await;
            }
            return Err(NoNeeds::Later);
        }
        let mut missing = false;
        for n in &unknown {
            match self.watch_cache.read_finished_job(n).await {
                Ok(f) => missing |= f.is_none(),
                Err(_) => return Err(NoNeeds::Later),
            }
        }
        // Not over: then it is among the unfinished ones, as a read begun now shows them, or nobody
        // accepted it.
        if missing && !self.watch_cache.linearizable_read().await {
            return Err(NoNeeds::Later);
        }
        match check_dependencies(&self.watch_cache.view(), own, names) {
            DependencyCheck::Accepted(list) => Ok(list),
            DependencyCheck::Impossible(why) => Err(NoNeeds::Impossible(why)),
            DependencyCheck::Unknown(_) => Err(NoNeeds::Impossible(
                "waits for a job that was never accepted",
            )),
        }
    }

    async fn poll(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::status(404);
        }
        match self.current(id).await {
            Ok(Some(a)) => Response::with(200, &a),
            Ok(None) => Response::status(404),
            Err(()) => later(),
        }
    }

    async fn submit(&self, body: &[u8]) -> Response {
        let s: Submission = match decode(body) {
            Ok(s) => s,
            Err(e) => {
                let id = id_in(body).unwrap_or_default();
                return self.refuse(&id, 400, &e.to_string()).await;
            }
        };
        let ids = s.dependencies.iter().flatten().chain([&s.id]);
        if let Some(id) = ids.into_iter().find(|id| !valid_id(id)) {
            let why = format!("no job id: {id:.40}");
            return self.refuse(&s.id, 400, &why).await;
        }
        if self.seen(&s.id).is_some() {
            return match self.current(&s.id).await {
                Ok(Some(a)) => Response::with(200, &a),
                _ => later(),
            };
        }
        if !self.watch_cache.loaded() {
            return later();
        }
        let spec = {
            let v = self.watch_cache.view();
            if v.machine_types.is_empty() {
                return later();
            }
            validate(&s, &self.settings, &v.machine_types, wall())
        };
        let spec = match spec {
            Ok(s) => s,
            Err(e) => {
                let status = match e {
                    AdmissionError::Malformed(_) => 400,
                    AdmissionError::Impossible(_) => 422,
                };
                return self.refuse(&s.id, status, &e.to_string()).await;
            }
        };
        if !self.watch_cache.current() {
            return later();
        }
        let mut spec = spec;
        let names = s.dependencies.as_deref().unwrap_or_default();
        if !names.is_empty() {
            match self.needs(&s.id, names).await {
                Ok(list) => spec.dependencies.jobs = JobIdList(list),
                Err(NoNeeds::Later) => return later(),
                Err(NoNeeds::Impossible(why)) => {
                    let e = AdmissionError::Impossible(why);
                    return self.refuse(&s.id, 422, &e.to_string()).await;
                }
            }
        }
        if self.watch_cache.client().write_delay() > QUEUE {
            tracing::debug!(
                queue = self.watch_cache.client().write_delay(),
                "submission: too many writes wait"
            );
            return Response::later(429, COME_BACK);
        }
        // Long lists of needed jobs come in steps before the record.
        for _ in 0..TRIES {
            let steps =
                accept_submission(&self.watch_cache.view(), &s.id, spec.clone(), self.limits());
            let Some(steps) = steps else {
                let why = "names or lists are too long for a value of the state service";
                tracing::debug!(id = s.id, why);
                return Response::refusal(400, why);
            };
            for t in steps {
                let last = t.mutations.iter().any(|c| c.key() == keys::job(&s.id));
                match self.watch_cache.transaction(&t).await {
                    TransactionOutcome::Done(_) => {
                        if last {
                            tracing::debug!(id = s.id, class = s.class, needs = ?s.dependencies, "accepted");
                            return Response::with(
                                201,
                                &JobAnswer {
                                    id: s.id,
                                    status: Status::Pending,
                                    done: 0,
                                    running: 0,
                                    dependencies: Vec::new(),
                                },
                            );
                        }
                    }
                    TransactionOutcome::Conflict(_) => {
                        match self.current(&s.id).await {
                            Ok(Some(a)) => return Response::with(200, &a),
                            Ok(None) if !last => break,
                            _ => return later(),
                        };
                    }
                    TransactionOutcome::Refused(429) => return Response::later(429, COME_BACK),
                    _ => return later(),
                }
            }
        }
        later()
    }

    /// Answers a submission that cannot be taken. A job that was accepted under its id has its state, whatever
    /// this one says: one that is over is not in every view, and was told 422 where types had changed.
    async fn refuse(&self, id: &str, status: u16, why: &str) -> Response {
        tracing::debug!(id, status, "submission: {why}");
        if !valid_id(id) {
            return Response::refusal(status, why);
        }
        match self.current(id).await {
            Ok(Some(a)) => Response::with(200, &a),
            Ok(None) => Response::refusal(status, why),
            Err(()) => later(),
        }
    }

    async fn cancel(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::status(404);
        }
        for _ in 0..TRIES {
            match self.current(id).await {
                Ok(Some(a)) if matches!(a.status, Status::Done | Status::Cancelled) => {
                    return Response::with(200, &a);
                }
                Ok(Some(_)) if self.membership.confirmations_held(self.clock.now()) => {
                    return later();
                }
                Ok(Some(_)) => {}
                Ok(None) => return Response::status(404),
                Err(()) => return later(),
            }
            let t = cancel(&self.watch_cache.view(), &JobId::from(id), self.limits());
            let Some(t) = t else { continue };
            match self.watch_cache.transaction(&t).await {
                TransactionOutcome::Done(_) => {}
                TransactionOutcome::Conflict(_) => {}
                _ => return later(),
            }
        }
        later()
    }

    /// Why jobs wait, as this controller sees it: failures and images are known of its own machines.
    fn reasons(&self, v: &ClusterState) -> impl Fn(&JobId, &Job) -> Reason + use<> {
        let plan = self.forecast(v, false);
        let now = self.clock.now();
        let mut fetching: HashMap<JobId, u32> = HashMap::default();
        for m in self.workers.machines().values() {
            let tasks = m.tasks.iter();
            for ((job, _), _) in tasks.filter(|(_, t)| t.status == TaskStatus::Fetching) {
                *fetching.entry(job.clone()).or_default() += 1;
            }
        }
        let failed: HashSet<JobId> = v
            .waiting()
            .filter(|(id, _)| self.workers.in_backoff(id, now))
            .map(|(id, _)| id.clone())
            .collect();
        move |id, j| {
            let n = fetching.get(id).copied().unwrap_or(0);
            pending_reason::pending_reason(&plan, id, j, failed.contains(id), n)
        }
    }

    /// What an operator may look at, over the controllers' own address.
    pub fn inspect(&self, path: &str) -> Response {
        if !self.watch_cache.loaded() {
            return Response::refusal(
                503,
                "the state service has not answered yet: this controller knows nothing",
            );
        }
        let v = self.watch_cache.view();
        match path {
            "/inspect/members" => Response::with(200, &(&v.members, &v.leader)),
            "/inspect/parts" => Response::with(200, &v.shards),
            "/inspect/machines" => {
                let m: std::collections::BTreeMap<&str, _> = v
                    .machines
                    .iter()
                    .map(|(id, h)| {
                        let n = v.tasks_on(id).map_or(0, |m| m.len());
                        let id: &MachineId = id;
                        (&**id, (h, n))
                    })
                    .collect();
                Response::with(200, &m)
            }
            "/inspect/layout" => Response::with(200, &(&v.versions, &v.layout)),
            "/inspect/pipelines" => {
                let m: std::collections::BTreeMap<&str, _> = v
                    .jobs
                    .iter()
                    .filter(|(_, j)| !j.dependencies.is_empty())
                    .filter_map(|(id, _)| {
                        let id: &str = id;
                        Some((id, answer(&v, id)?))
                    })
                    .take(PIPELINES)
                    .collect();
                Response::with(200, &m)
            }
            "/inspect/served" => {
                let rows = table(&v, &self.settings.objectives, wall());
                Response::with(200, &rows)
            }
            "/inspect/jobs" => {
                Response::with(200, &pending_reason::count(&v, wall(), &self.reasons(&v)))
            }
            p if p.starts_with("/inspect/jobs/") => {
                let id: JobId = p["/inspect/jobs/".len()..].into();
                match v.jobs.get(&id) {
                    Some(j) => {
                        let why = self.reasons(&v)(&id, j);
                        let needs: Vec<&str> = match why {
                            Some((PendingReason::Dependency, _)) => {
                                j.dependencies.iter().map(|n| &**n).collect()
                            }
                            _ => Vec::new(),
                        };
                        Response::with(200, &(answer(&v, &id), why, needs))
                    }
                    None => {
                        Response::refusal(404, "not among the unfinished jobs; see coppergw show")
                    }
                }
            }
            "/inspect/fairness" => Response::with(200, &(&v.counts, &v.priority_boosts)),
            _ => Response::status(404),
        }
    }
}
