use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use subtle::ConstantTimeEq;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use super::admitted_request::AdmittedRequest;
use super::claims::Claims;
use super::signals::Signals;
use super::{Queue, RequestMetadata, SidecarBody, SlotRequest, Upstream};
use crate::memory::MemoryBudget;
use crate::metrics::{Event, Meter};
use crate::net::{
    ATTEMPT, BodyLimits, Handler, LINK_KEY, LOAD, OUTCOME, RequestBody, RequestEnd, header_str,
    refusal_answer,
};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::platform::Table;
use crate::settings::{CurrentSettings, Kind, Repeat, Service};

/// Handles the requests that entries send.
#[derive(Debug)]
pub struct SidecarHandler<P> {
    pub(super) service: String,
    pub(super) link_key: String,
    pub(super) current: CurrentSettings,
    pub(super) queue: Arc<Queue>,
    pub(super) claims: Arc<Claims<P>>,
    pub(super) upstream: Upstream,
    pub(super) signals: Signals,
    pub(super) memory: MemoryBudget,
    pub(super) meter: Arc<Meter>,
    pub(super) tasks: TaskTracker,
    /// Limits requests that were in flight at a crash to one at a time.
    pub(super) suspect_slot: Arc<Semaphore>,
}

impl<P: Table> Handler for SidecarHandler<P> {
    type Body = SidecarBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<SidecarBody> {
        self.meter.count(Event::Request);
        let attempt = request.headers().get(ATTEMPT).cloned();
        let mut answer = match self.answer(request).await {
            Ok(answer) => self.mark_ran(answer),
            Err(refusal) => {
                self.meter.count_refusal(refusal.reason);
                refusal_answer(&refusal)
            }
        };
        self.add_headers(&mut answer, attempt);
        answer
    }
}

impl<P: Table> SidecarHandler<P> {
    /// Marks a response as the result of a request that ran.
    fn mark_ran(&self, mut answer: Response<SidecarBody>) -> Response<SidecarBody> {
        self.meter.count(Event::Ran);
        let headers = answer.headers_mut();
        headers.remove(CONNECTION);
        headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        answer
    }

    /// Adds the attempt's id and the current load to a response.
    fn add_headers(&self, answer: &mut Response<SidecarBody>, attempt: Option<HeaderValue>) {
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
        self.check_link_key(header_str(&head.headers, &LINK_KEY))?;
        let metadata =
            RequestMetadata::read(&head.headers).ok_or(Refusal::not_run(Reason::BadHeader))?;
        if metadata.service != self.service {
            return Err(Refusal::not_run(Reason::WrongService));
        }
        if self.signals.is_leaving() {
            return Err(Refusal::not_run(Reason::Leaving));
        }
        if !self.signals.is_up() {
            return Err(Refusal::not_run(Reason::UpstreamDown));
        }
        let current = self.current.get();
        let service = current.service(&metadata.service);
        let service = service.ok_or(Refusal::not_run(Reason::NoSettings))?;
        let deadline = arrived + metadata.time_left;
        let max_bytes = service.max_body.bytes();
        let limits = BodyLimits { max_bytes, max_time: metadata.time_left };
        let end = RequestEnd { deadline, may_rerun: metadata.repeat.may_rerun() };
        let draining = self.signals.draining.clone();
        let body = RequestBody::new(body, &head.extensions);
        let body = draining.collect(body, limits, end, &self.memory).await;
        let body = body.map_err(|err| Refusal::not_run(err.into()))?;
        let suspect_permit = self.acquire_suspect_permit(&metadata, deadline).await?;
        let permit = self
            .queue
            .admit(&slot_request(&metadata, service, deadline))
            .await?
            .with_suspect_permit(suspect_permit);
        let is_engine = service.kind == Kind::Engine;
        let upstream = self.upstream.clone();
        let request = AdmittedRequest {
            metadata,
            head,
            body,
            deadline,
            permit,
            upstream,
            is_engine,
            draining,
        };
        self.start(request).await
    }

    /// Runs a request. One that must not run twice runs in a task of its own: even if the entry
    /// gives up on it, it completes and its response is stored for a repeat.
    async fn start(&self, request: AdmittedRequest) -> Result<Response<SidecarBody>, Refusal> {
        if request.metadata.repeat != Repeat::Never {
            return request.relay(&self.memory).await;
        }
        let claims = Arc::clone(&self.claims);
        let meter = Arc::clone(&self.meter);
        let task = self.tasks.spawn(async move { request.run_once(&claims, &meter).await });
        task.await.unwrap_or(Err(Refusal::unknown(Reason::Unsettled)))
    }

    fn check_link_key(&self, key: Option<&str>) -> Result<(), Refusal> {
        let known = key.is_some_and(|key| key.as_bytes().ct_eq(self.link_key.as_bytes()).into());
        if known { Ok(()) } else { Err(Refusal::not_run(Reason::BadLink)) }
    }

    /// Waits until no other suspect request runs, if this one was in flight at a crash.
    async fn acquire_suspect_permit(
        &self,
        metadata: &RequestMetadata,
        deadline: Instant,
    ) -> Result<Option<tokio::sync::OwnedSemaphorePermit>, Refusal> {
        if !metadata.suspect {
            return Ok(None);
        }
        let suspect_permit =
            timeout_at(deadline, Arc::clone(&self.suspect_slot).acquire_owned()).await;
        match suspect_permit {
            Ok(Ok(permit)) => Ok(Some(permit)),
            _ => Err(Refusal::not_run(Reason::Overload)),
        }
    }
}

fn slot_request<'a>(
    metadata: &'a RequestMetadata,
    service: &Service,
    deadline: Instant,
) -> SlotRequest<'a> {
    SlotRequest {
        account: &metadata.account,
        weight: metadata.weight,
        cost: metadata.cost,
        priority: metadata.priority,
        max_wait: service.max_queue_wait(),
        deadline,
    }
}
