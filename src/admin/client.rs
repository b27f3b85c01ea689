use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use super::{Accepted, AdminProblem, Replacement, Status};
use crate::entry::KeyState;
use crate::net::{HttpClient, collect, h1_client};
use crate::settings::{RevisionRecord, Team, TeamDoc};

/// Maximum wait for a response, and again for its body.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Why a call to the administration API failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Display, Error)]
pub enum ClientError {
    /// {0} can't be reached: {1}
    Unreachable(SocketAddr, String),
    /// {0}
    Refused(Box<AdminProblem>),
    /// the response can't be read: {0}
    Malformed(String),
}

/// A client of the administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: HttpClient,
    addr: SocketAddr,
    key: String,
}

impl AdminClient {
    /// Creates a client with an operator's key.
    pub fn new(addr: SocketAddr, key: &str) -> Self {
        Self { client: h1_client(), addr, key: key.to_owned() }
    }

    /// Reads a team's settings.
    ///
    /// # Errors
    /// [`ClientError`], as for all calls.
    pub async fn read(&self, team: &str) -> Result<TeamDoc, ClientError> {
        self.call(Method::GET, &format!("/v1/teams/{team}/settings"), &()).await
    }

    /// Replaces a team's settings.
    ///
    /// # Errors
    /// [`ClientError::Refused`] if the team's version has changed or the settings are not valid.
    pub async fn replace(
        &self,
        team: &str,
        settings: &Team,
        version: u64,
    ) -> Result<Accepted, ClientError> {
        let body = Replacement { version, settings: settings.clone() };
        self.call(Method::PUT, &format!("/v1/teams/{team}/settings"), &body).await
    }

    /// Lists the accepted changes of a team's settings.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn revisions(&self, team: &str) -> Result<Vec<RevisionRecord>, ClientError> {
        self.call(Method::GET, &format!("/v1/teams/{team}/revisions"), &()).await
    }

    /// Reads the settings in force at an entry and the state of its upstreams.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.call(Method::GET, "/v1/status", &()).await
    }

    /// Stops new work at an upstream, or allows it again.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn drain(&self, name: &str, drain: bool) -> Result<(), ClientError> {
        let verb = if drain { "drain" } else { "undrain" };
        let path = format!("/v1/upstreams/{name}/{verb}");
        self.call::<serde_json::Value, _>(Method::POST, &path, &()).await.map(|_| ())
    }

    /// Looks up the state of an idempotency key.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn lookup(
        &self,
        team: &str,
        account: &str,
        service: &str,
        key: &str,
    ) -> Result<KeyState, ClientError> {
        let path = format!("/v1/teams/{team}/requests/{account}/{service}/{key}");
        self.call(Method::GET, &path, &()).await
    }

    async fn call<T: DeserializeOwned, B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        let body =
            serde_json::to_vec(body).map_err(|err| ClientError::Malformed(err.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| ClientError::Malformed(err.to_string()))?;
        let unreachable = |text: String| ClientError::Unreachable(self.addr, text);
        let answer = timeout(CALL_TIMEOUT, self.client.request(request)).await;
        let answer = answer.map_err(|_| unreachable("timeout".to_owned()))?;
        let answer = answer.map_err(|err| unreachable(err.to_string()))?;
        let status = answer.status();
        let body = collect(answer.into_body(), MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|err| unreachable(err.to_string()))?;
        parse_response(status, &body)
    }
}

fn parse_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ClientError> {
    let malformed = |err: serde_json::Error| ClientError::Malformed(err.to_string());
    if status.is_success() {
        return serde_json::from_slice(body).map_err(malformed);
    }
    let problem: AdminProblem = serde_json::from_slice(body).map_err(malformed)?;
    Err(ClientError::Refused(Box::new(problem)))
}
