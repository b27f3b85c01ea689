use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::net::{
    BodySender, ChannelBody, Handler, LAST_EVENT_ID, PREFIX, collect, header_str,
};
use ebonyusher::settings::Models;
use ebonyusher::sidecar::LoadOrder;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::order_log::EngineOrder;
use crate::prefix_cache::PrefixCache;
use crate::{CrashTrigger, Crashable, EngineOptions, OrderLog, StartLog, token};

const MAX_BODY_BYTES: u64 = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_TOKENS: u32 = 64;
/// A body that holds this word crashes the engine.
const POISON: &[u8] = b"poison";
/// A body that holds this word crashes the engine after a few tokens.
const VENOM: &[u8] = b"venom";
/// Tokens before such a crash.
const VENOM_TOKENS: u32 = 3;

/// A model engine stand-in that batches over a fixed number of slots.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    crash: CrashTrigger,
    slots: Arc<Semaphore>,
    cache: Mutex<PrefixCache>,
    stall: Mutex<Duration>,
    orders: Mutex<OrderLog>,
    models: Mutex<Models>,
    running: Arc<AtomicU32>,
    starts: StartLog,
    cache_hits: AtomicU64,
    tokens: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct Chat {
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Counts a request as running until dropped.
struct Running(Arc<AtomicU32>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// An idle engine.
    pub fn new(options: EngineOptions, crash: CrashTrigger) -> Self {
        Self {
            options,
            crash,
            slots: Arc::new(Semaphore::new(options.slots)),
            cache: Mutex::new(PrefixCache::new(options.cache_capacity)),
            stall: Mutex::default(),
            orders: Mutex::new(OrderLog {
                check_fences: options.check_fences,
                ..OrderLog::default()
            }),
            models: Mutex::default(),
            running: Arc::default(),
            starts: StartLog::default(),
            cache_hits: AtomicU64::new(0),
            tokens: Arc::default(),
        }
    }

    /// Requests that have started.
    pub const fn starts(&self) -> &StartLog {
        &self.starts
    }

    /// Requests whose prompt prefix was cached.
    pub fn cache_hits(&self) -> u64 {
        self.cache_hits.load(Ordering::Relaxed)
    }

    /// Tokens that have been streamed.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Makes each token take longer.
    pub fn set_stall(&self, stall: Duration) {
        *lock(&self.stall) = stall;
    }

    /// Crashes it now.
    pub fn crash(&self) {
        self.crash.fire();
    }

    /// The orders that it has carried out.
    pub fn orders(&self) -> OrderLog {
        lock(&self.orders).clone()
    }

    async fn chat(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return whole(StatusCode::BAD_REQUEST, json!({ "error": "bad body" }).to_string());
        };
        let Ok(chat) = serde_json::from_slice::<Chat>(&body) else {
            return whole(StatusCode::BAD_REQUEST, json!({ "error": "bad chat" }).to_string());
        };
        self.starts.record(&body);
        let Ok(slot) = Arc::clone(&self.slots).acquire_owned().await else {
            return whole(StatusCode::SERVICE_UNAVAILABLE, String::new());
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running(Arc::clone(&self.running));
        if holds(&body, POISON) {
            sleep(self.options.token_time).await;
            self.crash.fire();
            std::future::pending::<()>().await;
        }
        let prefix = header_str(&head.headers, &PREFIX);
        self.prefill(prefix.and_then(|text| u64::from_str_radix(text, 16).ok())).await;
        let last = header_str(&head.headers, &LAST_EVENT_ID).and_then(|text| text.parse().ok());
        let first = last.map_or(0, |last: u32| last + 1);
        let most = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !chat.stream {
            let text = self.all_tokens(&body, most).await;
            drop((slot, running));
            return whole(StatusCode::OK, text);
        }
        let (sender, stream) = ChannelBody::new();
        let body_copy = body.clone();
        let writer = Writer {
            body,
            first,
            most,
            pace: self.options.token_time + *lock(&self.stall),
            sender,
            crash: holds(&body_copy, VENOM).then(|| self.crash.clone()),
            tokens: Arc::clone(&self.tokens),
        };
        tokio::spawn(async move {
            writer.run().await;
            drop((slot, running));
        });
        let mut answer = Response::new(stream);
        let media = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(CONTENT_TYPE, media);
        answer
    }

    async fn prefill(&self, prefix: Option<u64>) {
        let hit = prefix.is_some_and(|prefix| lock(&self.cache).touch(prefix));
        if hit {
            self.cache_hits.fetch_add(1, Ordering::Relaxed);
        } else {
            sleep(self.options.prefill_time).await;
        }
        let stall = *lock(&self.stall);
        sleep(stall).await;
    }

    async fn all_tokens(&self, body: &[u8], most: u32) -> String {
        sleep(self.options.token_time * most).await;
        let text: Vec<String> = (0..most).map(|at| token(body, at)).collect();
        json!({ "choices": [{ "message": { "content": text.join(" ") } }] }).to_string()
    }

    fn cache_events(&self, query: &str) -> Response<ChannelBody> {
        let after = query.strip_prefix("after=").and_then(|text| text.parse().ok());
        let (late, gap) = (self.options.delayed_events, self.options.event_loss_interval);
        let events = lock(&self.cache).events_after(after.unwrap_or_default(), late, gap);
        whole(StatusCode::OK, serde_json::to_string(&events).unwrap_or_default())
    }

    /// What it holds.
    pub fn models(&self) -> Models {
        lock(&self.models).clone()
    }

    /// Tells what it holds, or loads what an order names.
    async fn load(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        if request.method() == Method::POST {
            let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
            let order = body.ok().and_then(|body| serde_json::from_slice::<LoadOrder>(&body).ok());
            let Some(order) = order else { return whole(StatusCode::BAD_REQUEST, String::new()) };
            let subject = format!("{}@{}", order.models.model, order.models.version);
            let taken = lock(&self.orders).apply(EngineOrder {
                fence: order.fence,
                verb: "load".to_owned(),
                subject,
            });
            if !taken {
                return whole(StatusCode::CONFLICT, String::new());
            }
            sleep(self.options.load_time).await;
            *lock(&self.models) = order.models;
        }
        whole(StatusCode::OK, serde_json::to_string(&self.models()).unwrap_or_default())
    }

    async fn order(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let order = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
        let Some(order) = order else {
            return whole(StatusCode::BAD_REQUEST, String::new());
        };
        let taken = lock(&self.orders).apply(order);
        let status = if taken { StatusCode::OK } else { StatusCode::CONFLICT };
        whole(status, json!({ "done": taken }).to_string())
    }
}

/// Writes one stream.
struct Writer {
    body: Bytes,
    first: u32,
    most: u32,
    pace: Duration,
    sender: BodySender,
    /// Crashes the engine after a few tokens.
    crash: Option<CrashTrigger>,
    tokens: Arc<AtomicU64>,
}

impl Writer {
    async fn run(self) {
        for at in self.first..self.most {
            sleep(self.pace).await;
            let data = json!({ "choices": [{ "delta": { "content": token(&self.body, at) } }] });
            self.tokens.fetch_add(1, Ordering::Relaxed);
            if let Some(crash) = self.crash.as_ref().filter(|_| at - self.first == VENOM_TOKENS) {
                crash.fire();
                std::future::pending::<()>().await;
            }
            let event = format!("id: {at}\ndata: {data}\n\n");
            if !self.sender.send(event.into()).await {
                return;
            }
        }
        self.sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
        self.sender.close().await;
    }
}

impl Handler for Engine {
    type Body = ChannelBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        match request.uri().path() {
            "/cache-events" => self.cache_events(request.uri().query().unwrap_or_default()),
            "/models" => self.load(request).await,
            "/orders" => self.order(request).await,
            "/load" => {
                let running = self.running.load(Ordering::Relaxed);
                whole(StatusCode::OK, json!({ "running": running }).to_string())
            }
            _ => self.chat(request).await,
        }
    }
}

impl Crashable for Engine {
    fn clear_volatile_state(&self) {
        *lock(&self.cache) = PrefixCache::new(self.options.cache_capacity);
    }
}

fn holds(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|window| window == word)
}

fn whole(status: StatusCode, text: String) -> Response<ChannelBody> {
    let (sender, body) = ChannelBody::new();
    tokio::spawn(async move {
        sender.send(text.into()).await;
        sender.close().await;
    });
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
