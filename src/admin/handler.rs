use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClientBuilder;
use serde::de::DeserializeOwned;
use serde_json::json;
use spdlog::info;

use super::{
    Accepted, Action, AdminError, CheckReport, OPENAPI, Patch, Readiness, Replacement, Status,
    settings_schema,
};
use crate::entry::{Members, Suspects, look_up_key};
use crate::id::Incarnation;
use crate::memory::MemoryBudget;
use crate::metrics::Meter;
use crate::net::{
    BodyLimits, CollectError, Handler, WholeBody, header_str, json_answer, receive, text_answer,
};
use crate::outcome::PROBLEM_JSON;
use crate::peer::{Hello, Hint, HintSender, LinkRpcClient};
use crate::platform::{InstanceList, Table};
use crate::settings::{
    CurrentSettings, KeyDigest, Operator, RevisionRecord, SettingsStore, Team, check_team, parse,
};

/// Maximum size of an operator's request body.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Maximum time in which an operator's request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for a sidecar's response to a drain call.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const BEARER: &str = "Bearer ";

type Answer = Result<Response<WholeBody>, AdminError>;

/// Handles the requests of operators to the administration API.
#[derive(Debug)]
pub struct AdminHandler<P> {
    pub(crate) store: SettingsStore<P>,
    pub(crate) platform: Arc<P>,
    pub(crate) current: CurrentSettings,
    pub(crate) members: Arc<Members>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) memory: MemoryBudget,
    pub(crate) operators: Vec<Operator>,
    pub(crate) ready: Readiness,
    pub(crate) hints: HintSender,
    pub(crate) hello: Hello,
}

impl<P: Table + InstanceList> Handler for AdminHandler<P> {
    type Body = WholeBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<WholeBody> {
        self.answer(request).await.unwrap_or_else(|err| error_response(&err))
    }
}

impl<P: Table + InstanceList> AdminHandler<P> {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let action = Action::parse(head.method.as_str(), head.uri.path());
        let action = action.ok_or(AdminError::NoRoute)?;
        if action.is_public() {
            return Ok(self.answer_public(&action));
        }
        let operator = self.operator(&head.headers)?;
        if let Some(team) = action.team().filter(|team| *team != operator.team) {
            return Err(AdminError::ForeignTeam(team.to_owned()));
        }
        match action {
            Action::Metrics => Ok(json_answer(StatusCode::OK, &self.metrics())),
            Action::Status => Ok(json_answer(StatusCode::OK, &self.status())),
            Action::Read { team } => Ok(json_answer(StatusCode::OK, &self.store.team(team).await?)),
            Action::Replace { .. } => {
                let change: Replacement = read_body(body, &self.memory).await?;
                self.replace(operator, &change.settings, change.version).await
            }
            Action::Patch { team } => {
                self.patch(operator, team, &read_body(body, &self.memory).await?).await
            }
            Action::Check { .. } => check(&read_body(body, &self.memory).await?),
            Action::Revisions { team } => {
                Ok(json_answer(StatusCode::OK, &self.store.revisions(team).await?))
            }
            Action::Lookup { team, account, service, key } => {
                let (account, service) = (format!("{team}/{account}"), format!("{team}/{service}"));
                let state = look_up_key(self.platform.as_ref(), &account, &service, key).await?;
                Ok(json_answer(StatusCode::OK, &state))
            }
            Action::Drain { name, drain } => self.drain(operator, name, drain).await,
            Action::Live | Action::Ready | Action::OpenApi | Action::Schema => {
                Ok(self.answer_public(&action))
            }
        }
    }

    fn answer_public(&self, action: &Action<'_>) -> Response<WholeBody> {
        match action {
            Action::Schema => json_answer(StatusCode::OK, &settings_schema()),
            Action::OpenApi => text_json(OPENAPI),
            Action::Ready if !self.ready.is_ready() => {
                text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
            _ => text_answer(StatusCode::OK, "ok\n"),
        }
    }

    fn operator(&self, headers: &HeaderMap) -> Result<&Operator, AdminError> {
        let key = header_str(headers, &AUTHORIZATION).and_then(|text| text.strip_prefix(BEARER));
        let digest = KeyDigest::of(key.ok_or(AdminError::BadKey)?);
        let known = self.operators.iter().find(|operator| operator.key.matches(&digest));
        known.ok_or(AdminError::BadKey)
    }

    fn metrics(&self) -> serde_json::Value {
        json!({
            "refusals": self.meter.refusals().nonzero(),
            "retries": self.meter.retries().nonzero(),
            "events": self.meter.events(),
        })
    }

    fn status(&self) -> Status {
        let current = self.current.get();
        let teams: BTreeMap<String, u64> = current.head().teams;
        Status {
            revision: current.revision,
            teams,
            ready: self.ready.is_ready(),
            upstreams: self.members.status(),
            held: self.suspects.quarantined_count(),
        }
    }

    async fn replace(&self, operator: &Operator, settings: &Team, version: u64) -> Answer {
        let record = RevisionRecord {
            revision: 0,
            team: operator.team.clone(),
            version,
            operator: operator.name.clone(),
            change: Incarnation::random().to_string(),
        };
        let applied = self.store.replace(&record, settings, version).await?;
        info!(
            "admin: {} changed team {} to version {}, revision {}",
            operator.name, operator.team, applied.version, applied.revision
        );
        // The hint makes this entry read the change at once, put it in force and notify its
        // sidecars.
        let hint = Hint { revision: applied.revision, peer: None };
        self.hints.try_send(hint).ok();
        let accepted = Accepted { revision: applied.revision, version: applied.version };
        Ok(json_answer(StatusCode::OK, &accepted))
    }

    async fn patch(&self, operator: &Operator, team: &str, change: &Patch) -> Answer {
        let current = self.store.team(team).await?;
        let mut value = serde_json::to_value(&current.settings).unwrap_or_default();
        json_patch::merge(&mut value, &change.patch);
        let settings: Team = parse(&value.to_string())?;
        self.replace(operator, &settings, change.version).await
    }

    async fn drain(&self, operator: &Operator, name: &str, drain: bool) -> Answer {
        let list = self.platform.list().await.map_err(|_| AdminError::StoreDown)?;
        let no_upstream = || AdminError::NoUpstream(name.to_owned());
        let inst = list.iter().find(|inst| inst.name == name).ok_or_else(no_upstream)?;
        let team = inst.service.split('/').next().unwrap_or_default();
        if team != operator.team {
            return Err(AdminError::ForeignTeam(team.to_owned()));
        }
        let unreachable = || AdminError::Unreachable(name.to_owned());
        let client = HttpClientBuilder::default()
            .request_timeout(PEER_TIMEOUT)
            .build(format!("http://{}", inst.peer))
            .map_err(|_| unreachable())?;
        let result = client.drain(self.hello.clone(), drain).await;
        result.map_err(|_| unreachable())?;
        info!("admin: {} set drain of {name} to {drain}", operator.name);
        Ok(json_answer(StatusCode::OK, &json!({ "name": name, "drain": drain })))
    }
}

fn check(settings: &Team) -> Answer {
    check_team(settings).map_err(crate::settings::StoreError::from)?;
    Ok(json_answer(StatusCode::OK, &CheckReport { ok: true }))
}

async fn read_body<T: DeserializeOwned>(
    mut body: Incoming,
    memory: &MemoryBudget,
) -> Result<T, AdminError> {
    let limits = BodyLimits { max_bytes: MAX_BODY_BYTES, max_time: BODY_TIMEOUT };
    let bytes = receive(&mut body, limits, memory).await;
    let bytes = bytes.map_err(|err| match err {
        CollectError::NoMemory => AdminError::NoMemory,
        _ => AdminError::BadBody,
    })?;
    let text = std::str::from_utf8(&bytes).map_err(|_| AdminError::BadBody)?;
    Ok(parse(text)?)
}

fn error_response(err: &AdminError) -> Response<WholeBody> {
    let mut answer = json_answer(err.status(), &err.problem());
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    answer
}

fn text_json(text: &'static str) -> Response<WholeBody> {
    let mut answer = text_answer(StatusCode::OK, text);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
