use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::entry::fingerprint;
use ebonyusher::net::{Handler, WholeBody, collect, json_answer, text_answer};
use ebonyusher::platform::{
    COMMIT_PATH, INSTANCES_PATH, Instance, InstanceList, OBJECTS_PATH, ObjectStore, ROWS_PATH,
    SCAN_PATH, Table, TableError, Txn,
};
use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{Faults, MemPlatform};

const MAX_BODY_BYTES: u64 = 64 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a [`MemPlatform`] over HTTP.
#[derive(Debug)]
pub struct PlatformServer(pub Arc<MemPlatform>);

/// Serves the control interface of a [`MemPlatform`], which sets faults and changes the list of
/// instances.
#[derive(Debug)]
pub struct ControlServer(pub Arc<MemPlatform>);

impl Handler for PlatformServer {
    type Body = WholeBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<WholeBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let known_tag = request.headers().get(IF_NONE_MATCH).cloned();
        let Ok(body) = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return text_answer(StatusCode::BAD_REQUEST, "bad body\n");
        };
        if let Some(key) = path.strip_prefix(ROWS_PATH) {
            return self.get(key).await;
        }
        if let Some(prefix) = path.strip_prefix(SCAN_PATH) {
            return answer(self.0.scan(prefix).await);
        }
        if let Some(name) = path.strip_prefix(OBJECTS_PATH) {
            return self.object(&method, name, body).await;
        }
        match path.as_str() {
            COMMIT_PATH => self.commit(&body).await,
            INSTANCES_PATH => self.list(known_tag).await,
            _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

impl PlatformServer {
    /// Returns the list with an entity tag, or 304 without the list if the client has the same tag.
    async fn list(&self, known_tag: Option<HeaderValue>) -> Response<WholeBody> {
        let Ok(list) = self.0.list().await else {
            return text_answer(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        };
        let text = serde_json::to_string(&list).unwrap_or_default();
        let tag = format!("\"{:016x}\"", fingerprint("", "", text.as_bytes()));
        let Ok(tag) = HeaderValue::from_str(&tag) else {
            return json_answer(StatusCode::OK, &list);
        };
        if known_tag.as_ref() == Some(&tag) {
            return text_answer(StatusCode::NOT_MODIFIED, "");
        }
        let mut answer = json_answer(StatusCode::OK, &list);
        answer.headers_mut().insert(ETAG, tag);
        answer
    }

    async fn get(&self, key: &str) -> Response<WholeBody> {
        match self.0.get(key).await {
            Ok(None) => text_answer(StatusCode::NOT_FOUND, "no such row\n"),
            read => answer(read),
        }
    }

    async fn commit(&self, body: &[u8]) -> Response<WholeBody> {
        match serde_json::from_slice::<Txn>(body) {
            Ok(txn) => answer(self.0.commit(&txn).await),
            Err(_) => text_answer(StatusCode::BAD_REQUEST, "bad transaction\n"),
        }
    }

    async fn object(&self, method: &Method, name: &str, body: Bytes) -> Response<WholeBody> {
        let down = || text_answer(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        if method == Method::PUT {
            let written = ObjectStore::write(self.0.as_ref(), name, body).await;
            return written.map_or_else(|_| down(), |()| text_answer(StatusCode::OK, "ok\n"));
        }
        match ObjectStore::read(self.0.as_ref(), name).await {
            Ok(Some(body)) => Response::new(WholeBody::from(body)),
            Ok(None) => text_answer(StatusCode::NOT_FOUND, "no such object\n"),
            Err(_) => down(),
        }
    }
}

fn answer<T: serde::Serialize>(result: Result<T, TableError>) -> Response<WholeBody> {
    match result {
        Ok(value) => json_answer(StatusCode::OK, &value),
        Err(TableError::Conflict) => text_answer(StatusCode::CONFLICT, "conflict\n"),
        Err(TableError::Unavailable(_)) => text_answer(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
        Err(TableError::Unknown(_) | TableError::Malformed(_)) => {
            text_answer(StatusCode::INTERNAL_SERVER_ERROR, "no answer\n")
        }
    }
}

impl Handler for ControlServer {
    type Body = WholeBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<WholeBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let Ok(body) = body else {
            return text_answer(StatusCode::BAD_REQUEST, "bad body\n");
        };
        let done = match (method, path.as_str()) {
            (Method::PUT, "/faults") => {
                serde_json::from_slice::<Faults>(&body).map(|faults| self.0.set_faults(faults))
            }
            (Method::PUT, "/instances") => {
                serde_json::from_slice::<Instance>(&body).map(|inst| self.0.add_instance(inst))
            }
            (Method::DELETE, path) if path.starts_with("/instances/") => {
                self.0.remove_instance(path.trim_start_matches("/instances/"));
                Ok(())
            }
            (Method::POST, path) if path.starts_with("/leaving/") => {
                self.0.mark_leaving(path.trim_start_matches("/leaving/"));
                Ok(())
            }
            _ => return text_answer(StatusCode::NOT_FOUND, "no such path\n"),
        };
        match done {
            Ok(()) => text_answer(StatusCode::OK, "ok\n"),
            Err(_) => text_answer(StatusCode::BAD_REQUEST, "bad body\n"),
        }
    }
}
