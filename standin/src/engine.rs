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
/// A request body that contains this word crashes the engine before the first token.
const POISON: &[u8] = b"poison";
/// A streaming request whose body contains this word crashes the engine after
/// [`MID_STREAM_CRASH_TOKENS`] tokens.
const MID_STREAM_POISON: &[u8] = b"venom";
/// Tokens that are streamed before such a crash.
const MID_STREAM_CRASH_TOKENS: u32 = 3;

/// A model engine stand-in that runs a fixed number of requests at a time.
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
struct ChatRequest {
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Counts a request as running until dropped.
struct RunningGuard(Arc<AtomicU32>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Creates an idle engine.
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

    /// Returns the log of started requests.
    pub const fn starts(&self) -> &StartLog {
        &self.starts
    }

    /// Returns the number of requests whose prompt prefix was cached.
    pub fn cache_hits(&self) -> u64 {
        self.cache_hits.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens that have been streamed.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Adds `stall` to the time for the prompt and for each streamed token.
    pub fn set_stall(&self, stall: Duration) {
        *lock(&self.stall) = stall;
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        self.crash.fire();
    }

    /// Returns the orders that the engine has accepted.
    pub fn orders(&self) -> OrderLog {
        lock(&self.orders).clone()
    }

    async fn chat(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return json_response(
                StatusCode::BAD_REQUEST,
                json!({ "error": "bad body" }).to_string(),
            );
        };
        let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
            return json_response(
                StatusCode::BAD_REQUEST,
                json!({ "error": "bad chat" }).to_string(),
            );
        };
        self.starts.record(&body);
        let Ok(slot) = Arc::clone(&self.slots).acquire_owned().await else {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = RunningGuard(Arc::clone(&self.running));
        if contains(&body, POISON) {
            sleep(self.options.token_time).await;
            self.crash.fire();
            std::future::pending::<()>().await;
        }
        let prefix = header_str(&head.headers, &PREFIX);
        self.prefill(prefix.and_then(|text| u64::from_str_radix(text, 16).ok())).await;
        let last = header_str(&head.headers, &LAST_EVENT_ID).and_then(|text| text.parse().ok());
        let first_token = last.map_or(0, |last: u32| last + 1);
        let max_tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !chat.stream {
            let text = self.generate_text(&body, max_tokens).await;
            drop((slot, running));
            return json_response(StatusCode::OK, text);
        }
        let (sender, stream) = ChannelBody::new();
        let request_body = body.clone();
        let writer = StreamWriter {
            body,
            first_token,
            max_tokens,
            token_interval: self.options.token_time + *lock(&self.stall),
            sender,
            crash: contains(&request_body, MID_STREAM_POISON).then(|| self.crash.clone()),
            tokens: Arc::clone(&self.tokens),
        };
        tokio::spawn(async move {
            writer.run().await;
            drop((slot, running));
        });
        let mut response = Response::new(stream);
        let media_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        response
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

    async fn generate_text(&self, body: &[u8], max_tokens: u32) -> String {
        sleep(self.options.token_time * max_tokens).await;
        let text: Vec<String> = (0..max_tokens).map(|at| token(body, at)).collect();
        json!({ "choices": [{ "message": { "content": text.join(" ") } }] }).to_string()
    }

    fn cache_events(&self, query: &str) -> Response<ChannelBody> {
        let after = query.strip_prefix("after=").and_then(|text| text.parse().ok());
        let (delayed, loss_interval) =
            (self.options.delayed_events, self.options.event_loss_interval);
        let events =
            lock(&self.cache).events_after(after.unwrap_or_default(), delayed, loss_interval);
        json_response(StatusCode::OK, serde_json::to_string(&events).unwrap_or_default())
    }

    /// Returns the models that are loaded.
    pub fn models(&self) -> Models {
        lock(&self.models).clone()
    }

    /// Returns the loaded models; a POST first loads the models that its order names.
    async fn load(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        if request.method() == Method::POST {
            let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
            let order = body.ok().and_then(|body| serde_json::from_slice::<LoadOrder>(&body).ok());
            let Some(order) = order else {
                return json_response(StatusCode::BAD_REQUEST, String::new());
            };
            let subject = format!("{}@{}", order.models.model, order.models.version);
            let accepted = lock(&self.orders).apply(EngineOrder {
                fence: order.fence,
                verb: "load".to_owned(),
                subject,
            });
            if !accepted {
                return json_response(StatusCode::CONFLICT, String::new());
            }
            sleep(self.options.load_time).await;
            *lock(&self.models) = order.models;
        }
        json_response(StatusCode::OK, serde_json::to_string(&self.models()).unwrap_or_default())
    }

    async fn order(&self, request: Request<Incoming>) -> Response<ChannelBody> {
        let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let order = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
        let Some(order) = order else {
            return json_response(StatusCode::BAD_REQUEST, String::new());
        };
        let accepted = lock(&self.orders).apply(order);
        let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
        json_response(status, json!({ "done": accepted }).to_string())
    }
}

/// Writes the tokens of one streaming response.
struct StreamWriter {
    body: Bytes,
    first_token: u32,
    max_tokens: u32,
    token_interval: Duration,
    sender: BodySender,
    /// Crashes the engine in the middle of the stream; with `None` the stream is completed.
    crash: Option<CrashTrigger>,
    tokens: Arc<AtomicU64>,
}

impl StreamWriter {
    async fn run(self) {
        for at in self.first_token..self.max_tokens {
            sleep(self.token_interval).await;
            let data = json!({ "choices": [{ "delta": { "content": token(&self.body, at) } }] });
            self.tokens.fetch_add(1, Ordering::Relaxed);
            if let Some(crash) =
                self.crash.as_ref().filter(|_| at - self.first_token == MID_STREAM_CRASH_TOKENS)
            {
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
                json_response(StatusCode::OK, json!({ "running": running }).to_string())
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

fn contains(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|window| window == word)
}

fn json_response(status: StatusCode, text: String) -> Response<ChannelBody> {
    let (sender, body) = ChannelBody::new();
    tokio::spawn(async move {
        sender.send(text.into()).await;
        sender.close().await;
    });
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
