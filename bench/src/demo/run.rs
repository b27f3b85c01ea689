use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use ebonyusher::admin::{AdminClient, ClientError};
use ebonyusher::outcome::Outcome;
use ebonyusher::settings::{ParseError, Team, parse};
use ebonyusher_standin::FleetError;
use http::Method;
use thiserror::Error;

use super::{ChatReport, DemoCluster, DemoReport, LookupReport, OrderReport, SettingsReport, TEAM};
use crate::client::{Caller, CallerError};

/// Example settings of the repository.
const EXAMPLE: &str = include_str!("../../../examples/akwaaba/team.json");
const OPERATOR_KEY: &str = "akwaaba-operator-key";
const CALLER_KEY: &str = "akwaaba-osu-key";
const TOKENS: usize = 32;
const ORDER_KEY: &str = "demo-order-1";

/// Why the demo failed.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum DemoError {
    /// {0}
    Fleet(#[from] FleetError),
    /// the example settings are invalid: {0}
    Settings(#[from] ParseError),
    /// {0}
    Admin(#[from] ClientError),
    /// {0}
    Caller(#[from] CallerError),
}

/// Sends one request of each kind, then shuts the cluster down gracefully.
///
/// # Errors
/// [`DemoError`] if a request gets no response or the settings are not accepted.
pub async fn run_once(cluster: DemoCluster) -> Result<DemoReport, DemoError> {
    let settings = apply_example_settings(&cluster).await?;
    cluster.wait_links().await;
    let caller = Caller::new(CALLER_KEY);
    let chat = chat(&cluster, &caller).await?;
    let path = "/ledger/members/7";
    let to = cluster.entries[0].data_addr();
    let lookup = caller.send(to, Method::GET, path, None, Bytes::new()).await?;
    let lookup = LookupReport { status: lookup.status };
    let order = order(&cluster, &caller).await?;
    cluster.close().await;
    let ok = chat.complete
        && chat.tokens == TOKENS
        && lookup.status == 200
        && order == OrderReport { runs: 1, same_answer: true };
    Ok(DemoReport { ok, chat, lookup, order, settings })
}

/// Replaces the settings with the example through the administration API, and waits until every
/// process has applied them.
///
/// # Errors
/// [`DemoError`] if they are not accepted.
pub async fn apply_example_settings(cluster: &DemoCluster) -> Result<SettingsReport, DemoError> {
    let team: Team = parse(EXAMPLE)?;
    let admin = AdminClient::new(cluster.entries[0].admin_addr(), OPERATOR_KEY);
    let accepted = admin.replace(TEAM, &team, 0).await?;
    let spread = cluster.wait_revision(accepted.revision).await;
    Ok(SettingsReport { revision: accepted.revision, spread_ms: millis(spread) })
}

async fn chat(cluster: &DemoCluster, caller: &Caller) -> Result<ChatReport, DemoError> {
    let body = format!(
        r#"{{"model":"kite","stream":true,"max_tokens":{TOKENS},"messages":[{{"role":"user","content":"Draft a festival notice"}}]}}"#
    );
    let to = cluster.entries[0].data_addr();
    let path = "/v1/chat/completions";
    let reply = caller.send(to, Method::POST, path, None, body.into()).await?;
    let text = String::from_utf8_lossy(&reply.body);
    let tokens = text.matches("\"content\"").count();
    let complete = reply.ended_cleanly && text.ends_with("data: [DONE]\n\n");
    Ok(ChatReport { complete, tokens, first_token_ms: millis(reply.first_byte) })
}

async fn order(cluster: &DemoCluster, caller: &Caller) -> Result<OrderReport, DemoError> {
    let body = Bytes::from_static(br#"{"kite":"delta","count":2}"#);
    let mut answers = Vec::new();
    for entry in &cluster.entries {
        let to = entry.data_addr();
        let path = "/ledger/orders";
        let sent = caller.send(to, Method::POST, path, Some(ORDER_KEY), body.clone()).await?;
        answers.push((sent.outcome, sent.body));
    }
    let same = answers
        .iter()
        .all(|(outcome, body)| *outcome == Some(Outcome::Ran) && *body == answers[0].1);
    Ok(OrderReport { runs: cluster.runs(ORDER_KEY), same_answer: same })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
