use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use ebonyusher::net::{
    HttpClient, IDEMPOTENCY_KEY, OUTCOME, REASON, REPLAYED, h1_client, h2_client, header_str,
};
use ebonyusher::outcome::{Outcome, Reason};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use thiserror::Error;

use super::Reply;

/// Why a request got no response.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum CallerError {
    /// no response: {0}
    NoAnswer(#[from] hyper_util::client::legacy::Error),
    /// can't build the request: {0}
    Request(#[from] http::Error),
}

/// Client that sends requests with the key of a client account.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    key: String,
}

impl Caller {
    /// Returns a caller over HTTP/1.1.
    pub fn new(key: &str) -> Self {
        Self { client: h1_client(), key: key.to_owned() }
    }

    /// Returns a caller over HTTP/2.
    pub fn over_h2(key: &str) -> Self {
        Self { client: h2_client(), key: key.to_owned() }
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    /// [`CallerError`] if no response headers are received.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<Reply, CallerError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(key) = idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let began = Instant::now();
        let answer = self.client.request(request.body(Full::new(body))?).await?;
        let headers = answer.headers();
        let mut reply = Reply {
            status: answer.status().as_u16(),
            outcome: header_str(headers, &OUTCOME).and_then(Outcome::parse),
            reason: header_str(headers, &REASON).and_then(Reason::parse),
            replayed: headers.contains_key(REPLAYED),
            body: Vec::new(),
            ended_cleanly: true,
            first_byte: Duration::ZERO,
            total: Duration::ZERO,
            max_gap: Duration::ZERO,
        };
        let mut body = answer.into_body();
        let mut last = began;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                reply.ended_cleanly = false;
                break;
            };
            let now = Instant::now();
            if reply.body.is_empty() {
                reply.first_byte = now - began;
            } else {
                reply.max_gap = reply.max_gap.max(now - last);
            }
            last = now;
            reply.body.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        reply.total = began.elapsed();
        Ok(reply)
    }
}
