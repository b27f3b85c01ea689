use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use super::{
    COMMIT_PATH, INSTANCES_PATH, Instance, InstanceList, ListError, OBJECTS_PATH, ObjectError,
    ObjectStore, ROWS_PATH, Row, SCAN_PATH, Table, TableError, Txn,
};

/// Maximum wait for a response of the platform. For the list of instances, the head and the body of
/// the response may each take this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform's services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    /// The list of instances as last read, so that the platform need not send an unchanged list
    /// again.
    cached_list: Arc<Mutex<Option<CachedList>>>,
}

/// A list of instances with its ETag.
#[derive(Clone, Debug)]
struct CachedList {
    etag: HeaderValue,
    instances: Vec<Instance>,
}

/// Why a call failed, and whether it may have had an effect.
enum CallError {
    /// The request was not sent: the call had no effect.
    NotSent(String),
    /// The response was lost: the call may have had an effect.
    Lost(String),
}

impl CallError {
    fn into_text(self) -> String {
        match self {
            Self::NotSent(text) | Self::Lost(text) => text,
        }
    }
}

impl HttpPlatform {
    /// Creates a client for the platform at an address. Connects on first use.
    pub fn new(addr: SocketAddr) -> Self {
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Self { client, addr, cached_list: Arc::default() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .body(Full::new(body))
            .map_err(|err| CallError::NotSent(err.to_string()))?;
        let answer = timeout(CALL_TIMEOUT, self.exchange(request)).await;
        answer.unwrap_or_else(|_| Err(CallError::Lost("timeout".to_owned())))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.client.request(request).await.map_err(|err| {
            if err.is_connect() {
                CallError::NotSent(err.to_string())
            } else {
                CallError::Lost(err.to_string())
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|err| CallError::Lost(err.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    async fn fetch(&self, path: &str) -> Result<Option<Bytes>, String> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        match answer.map_err(CallError::into_text)? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(format!("status {status}")),
        }
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let path = format!("{ROWS_PATH}{key}");
        let body = self.fetch(&path).await.map_err(TableError::Unavailable)?;
        body.map(|body| parse(&body)).transpose()
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let path = format!("{SCAN_PATH}{prefix}");
        let body = self.fetch(&path).await.map_err(TableError::Unavailable)?;
        body.map_or_else(|| Ok(Vec::new()), |body| parse(&body))
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, TableError> {
        let body = serde_json::to_vec(txn).map_err(|err| TableError::Malformed(err.to_string()))?;
        match self.call(Method::POST, COMMIT_PATH, body.into()).await {
            Ok((StatusCode::OK, body)) => parse(&body),
            Ok((StatusCode::CONFLICT, _)) => Err(TableError::Conflict),
            Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
                Err(TableError::Unavailable("refused by the platform".to_owned()))
            }
            Ok((status, _)) => Err(TableError::Unknown(format!("status {status}"))),
            Err(CallError::NotSent(text)) => Err(TableError::Unavailable(text)),
            Err(CallError::Lost(text)) => Err(TableError::Unknown(text)),
        }
    }
}

impl ObjectStore for HttpPlatform {
    async fn read(&self, name: &str) -> Result<Option<Bytes>, ObjectError> {
        let path = format!("{OBJECTS_PATH}{name}");
        self.fetch(&path).await.map_err(ObjectError::Unavailable)
    }

    async fn write(&self, name: &str, body: Bytes) -> Result<(), ObjectError> {
        let path = format!("{OBJECTS_PATH}{name}");
        match self.call(Method::PUT, &path, body).await {
            Ok((status, _)) if status.is_success() => Ok(()),
            Ok((status, _)) => Err(ObjectError::Unavailable(format!("status {status}"))),
            Err(err) => Err(ObjectError::Unavailable(err.into_text())),
        }
    }
}

impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Instance>, ListError> {
        let cached = self.cached_list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut request = Request::get(format!("http://{}{INSTANCES_PATH}", self.addr));
        if let Some(cached) = &cached {
            request = request.header(IF_NONE_MATCH, &cached.etag);
        }
        let unavailable = |text: String| ListError::Unavailable(text);
        let request = request.body(Full::default()).map_err(|err| unavailable(err.to_string()))?;
        let answer = timeout(CALL_TIMEOUT, self.client.request(request)).await;
        let answer = answer.map_err(|_| unavailable("timeout".to_owned()))?;
        let answer = answer.map_err(|err| unavailable(err.to_string()))?;
        match (answer.status(), cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.instances),
            (StatusCode::OK, _) => self.read_list(answer).await,
            (status, _) => Err(unavailable(format!("status {status}"))),
        }
    }
}

impl HttpPlatform {
    async fn read_list(&self, answer: Response<Incoming>) -> Result<Vec<Instance>, ListError> {
        let unavailable = |text: String| ListError::Unavailable(text);
        let etag = answer.headers().get(ETAG).cloned();
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = timeout(CALL_TIMEOUT, body).await;
        let body = body.map_err(|_| unavailable("timeout".to_owned()))?;
        let body = body.map_err(|err| unavailable(err.to_string()))?.to_bytes();
        let instances: Vec<Instance> =
            serde_json::from_slice(&body).map_err(|err| unavailable(err.to_string()))?;
        if let Some(etag) = etag {
            let cached = CachedList { etag, instances: instances.clone() };
            *self.cached_list.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached);
        }
        Ok(instances)
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|err| TableError::Malformed(err.to_string()))
}
