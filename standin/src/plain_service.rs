use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::net::{Handler, IDEMPOTENCY_KEY, WholeBody, collect, header_str, json_answer};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::sleep;

use crate::{CrashTrigger, Crashable, StartLog};

const MAX_BODY_BYTES: u64 = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// A request body that contains this word crashes the service.
const POISON: &[u8] = b"poison";

/// Options of a plain service stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainServiceOptions {
    /// Time that a request takes to run.
    pub work: Duration,
}

/// A plain service stand-in that counts the runs of each idempotency key. Each instance has counts
/// of its own.
#[derive(Debug)]
pub struct PlainService {
    options: PlainServiceOptions,
    crash: CrashTrigger,
    stall: Mutex<Duration>,
    runs: Mutex<HashMap<String, u32>>,
    receipts: AtomicU64,
    starts: StartLog,
}

impl PlainService {
    /// Creates a service that has run no requests.
    pub fn new(options: PlainServiceOptions, crash: CrashTrigger) -> Self {
        Self {
            options,
            crash,
            stall: Mutex::default(),
            runs: Mutex::default(),
            receipts: AtomicU64::new(0),
            starts: StartLog::default(),
        }
    }

    /// Returns how often the request with an idempotency key has run.
    pub fn run_count(&self, key: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or_default()
    }

    /// Returns how often the request with each idempotency key has run.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the log of started requests.
    pub const fn starts(&self) -> &StartLog {
        &self.starts
    }

    /// Delays each run by `stall`.
    pub fn set_stall(&self, stall: Duration) {
        *self.stall.lock().unwrap_or_else(PoisonError::into_inner) = stall;
    }

    /// Crashes the service.
    pub fn crash(&self) {
        self.crash.fire();
    }

    async fn run(&self, key: Option<&str>, body: &Bytes) -> Response<WholeBody> {
        let stall = *self.stall.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = key {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(key.to_owned()).or_default() += 1;
        }
        sleep(self.options.work + stall).await;
        let receipt = self.receipts.fetch_add(1, Ordering::Relaxed) + 1;
        let echo = String::from_utf8_lossy(body);
        json_answer(StatusCode::OK, &json!({ "receipt": receipt, "for": echo }))
    }
}

impl Handler for PlainService {
    type Body = WholeBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<WholeBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return json_answer(StatusCode::BAD_REQUEST, &json!({ "error": "bad body" }));
        };
        self.starts.record(&body);
        if body.windows(POISON.len()).any(|window| window == POISON) {
            self.crash.fire();
            std::future::pending::<()>().await;
        }
        if head.method == Method::GET {
            sleep(self.options.work).await;
            return json_answer(StatusCode::OK, &json!({ "balance": 42, "of": head.uri.path() }));
        }
        let key = header_str(&head.headers, &IDEMPOTENCY_KEY);
        self.run(key, &body).await
    }
}

impl Crashable for PlainService {
    /// Keeps the run counts: they stand for a ledger in durable storage, which survives a crash.
    fn clear_volatile_state(&self) {}
}
