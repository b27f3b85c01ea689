use std::collections::BTreeMap;

use ebonyusher::settings::{Account, KeyDigest, Kind, Priority, Repeat, Route, Service, Team};
use ebonyusher::units::{Size, Span};

/// Team whose accounts send the load.
pub const TEAM: &str = "load";
/// Service of the model engines.
pub const CHAT: &str = "chat";
/// Service of the plain upstreams, which keep the ledger.
pub const LEDGER: &str = "ledger";
/// Concurrent requests of an engine.
pub const CHAT_SLOTS: usize = 8;

/// Returns the name of an account.
pub fn account_name(index: usize) -> String {
    format!("account-{index}")
}

/// Returns the key of an account.
pub fn account_key(index: usize) -> String {
    format!("load-key-{index}")
}

/// Returns settings with the given number of accounts of equal weight.
pub fn team(accounts: usize) -> Team {
    let services = BTreeMap::from([(CHAT.to_owned(), chat()), (LEDGER.to_owned(), ledger())]);
    let route = |path: &str, method: &str, service: &str, repeat| Route {
        host: None,
        path: path.to_owned(),
        methods: vec![method.to_owned()],
        service: service.to_owned(),
        repeat,
    };
    let routes = vec![
        route("/chat", "POST", CHAT, Repeat::Free),
        route("/ledger", "GET", LEDGER, Repeat::Free),
        route("/ledger/orders", "POST", LEDGER, Repeat::Never),
    ];
    let accounts = (0..accounts).map(|index| (account_name(index), account(index))).collect();
    Team { services, routes, accounts }
}

fn chat() -> Service {
    Service {
        kind: Kind::Engine,
        slots: CHAT_SLOTS as u32,
        deadline: Span::from_millis(10_000),
        queue_wait: Some(Span::from_millis(400)),
        max_body: Size::from_bytes(1 << 20),
        resume: true,
        hedge: false,
        retry_share: 0.1,
        group: None,
        models: None,
    }
}

fn ledger() -> Service {
    Service {
        kind: Kind::Plain,
        slots: 64,
        deadline: Span::from_millis(5_000),
        queue_wait: Some(Span::from_millis(1_000)),
        max_body: Size::from_bytes(64 << 10),
        resume: false,
        hedge: true,
        retry_share: 0.1,
        group: None,
        models: None,
    }
}

fn account(index: usize) -> Account {
    Account {
        keys: vec![KeyDigest::of(&account_key(index))],
        weight: 1.0,
        rate: None,
        in_flight: None,
        priority: Priority::Normal,
    }
}
