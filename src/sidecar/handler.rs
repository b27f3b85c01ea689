use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use subtle::ConstantTimeEq;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use super::claim::Claims;
use super::run::Run;
use super::signals::Signals;
use super::{Call, Queue, SidecarBody, Ticket, Upstream};
use crate::metrics::{Event, Meter};
use crate::net::{ATTEMPT, Handler, LINK_KEY, LOAD, OUTCOME, collect, header_str, refusal_answer};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::platform::Table;
use crate::settings::{CurrentSettings, Kind, Repeat, Service};

/// Answers the requests that entries send.
#[derive(Debug)]
pub struct SidecarHandler<P> {
    pub(super) service: String,
    pub(super) key: String,
    pub(super) current: CurrentSettings,
    pub(super) queue: Arc<Queue>,
    pub(super) claims: Arc<Claims<P>>,
    pub(super) upstream: Upstream,
    pub(super) signals: Signals,
    pub(super) meter: Arc<Meter>,
    pub(super) tasks: TaskTracker,
    /// Requests that were in flight at a crash run one at a time.
    pub(super) suspects: Arc<Semaphore>,
}

impl<P: Table> Handler for SidecarHandler<P> {
    type Body = SidecarBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<SidecarBody> {
        self.meter.count(Event::Request);
        let attempt = request.headers().get(ATTEMPT).cloned();
        let mut answer = match self.answer(request).await {
            Ok(answer) => self.ran(answer),
            Err(refusal) => {
                self.meter.refuse(refusal.reason);
                refusal_answer(&refusal)
            }
        };
        self.stamp(&mut answer, attempt);
        answer
    }
}

impl<P: Table> SidecarHandler<P> {
    fn ran(&self, mut answer: Response<SidecarBody>) -> Response<SidecarBody> {
        self.meter.count(Event::Ran);
        let headers = answer.headers_mut();
        headers.remove(CONNECTION);
        headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        answer
    }

    fn stamp(&self, answer: &mut Response<SidecarBody>, attempt: Option<HeaderValue>) {
        if let Some(attempt) = attempt {
            answer.headers_mut().insert(ATTEMPT, attempt);
        }
        if let Ok(load) = HeaderValue::from_str(&self.queue.load().to_string()) {
            answer.headers_mut().insert(LOAD, load);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<SidecarBody>, Refusal> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        self.admit_peer(header_str(&head.headers, &LINK_KEY))?;
        let call = Call::read(&head.headers).ok_or(Refusal::not_run(Reason::BadHeader))?;
        if call.service != self.service {
            return Err(Refusal::not_run(Reason::WrongService));
        }
        if self.signals.is_leaving() {
            return Err(Refusal::not_run(Reason::Leaving));
        }
        if !self.signals.is_up() {
            return Err(Refusal::not_run(Reason::UpstreamDown));
        }
        let current = self.current.get();
        let service = current.service(&call.service);
        let service = service.ok_or(Refusal::not_run(Reason::NoSettings))?;
        let deadline = arrived + call.left;
        let body = collect(body, service.max_body.bytes(), call.left)
            .await
            .map_err(|_| Refusal::not_run(Reason::BodyBroken))?;
        let turn = self.wait_alone(&call, deadline).await?;
        let permit = self.queue.admit(&ticket(&call, service, deadline)).await?.with_turn(turn);
        let engine = service.kind == Kind::Engine;
        let upstream = self.upstream.clone();
        self.start(Run { call, head, body, deadline, permit, upstream, engine }).await
    }

    /// A request that must not run twice goes on to its end even if the entry gives up on it, so
    /// that its answer is kept for a repeat.
    async fn start(&self, run: Run) -> Result<Response<SidecarBody>, Refusal> {
        if run.call.repeat != Repeat::Never {
            return run.relay().await;
        }
        let claims = Arc::clone(&self.claims);
        let meter = Arc::clone(&self.meter);
        let task = self.tasks.spawn(async move { run.once(&claims, &meter).await });
        task.await.unwrap_or(Err(Refusal::unknown(Reason::Unsettled)))
    }

    fn admit_peer(&self, key: Option<&str>) -> Result<(), Refusal> {
        let known = key.is_some_and(|key| key.as_bytes().ct_eq(self.key.as_bytes()).into());
        if known { Ok(()) } else { Err(Refusal::not_run(Reason::BadLink)) }
    }

    async fn wait_alone(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> Result<Option<tokio::sync::OwnedSemaphorePermit>, Refusal> {
        if !call.suspect {
            return Ok(None);
        }
        let turn = timeout_at(deadline, Arc::clone(&self.suspects).acquire_owned()).await;
        match turn {
            Ok(Ok(permit)) => Ok(Some(permit)),
            _ => Err(Refusal::not_run(Reason::Overload)),
        }
    }
}

fn ticket<'a>(call: &'a Call, service: &Service, deadline: Instant) -> Ticket<'a> {
    Ticket {
        account: &call.account,
        weight: call.weight,
        cost: call.cost,
        priority: call.priority,
        wait: service.max_queue_wait(),
        deadline,
    }
}
