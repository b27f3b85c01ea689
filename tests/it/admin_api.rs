//! The HTTP API for operators.

use std::collections::BTreeSet;

use ebonyusher::admin::{AdminClient, ClientError, OPENAPI, ROUTES};
use rstest::rstest;
use serde_json::Value;

use crate::test_cluster::{OPERATOR_KEY, TEAM, TestCluster, team, wait_until};

#[test]
fn the_openapi_document_lists_exactly_the_routes() {
    let doc: Value = serde_json::from_str(OPENAPI).unwrap();
    let documented: BTreeSet<(String, String)> = doc["paths"]
        .as_object()
        .unwrap()
        .iter()
        .flat_map(|(path, verbs)| {
            let verbs = verbs.as_object().unwrap().keys();
            verbs.map(move |verb| (verb.to_uppercase(), path.clone()))
        })
        .collect();

    let routes: BTreeSet<(String, String)> =
        ROUTES.iter().map(|route| (route.method.to_owned(), route.path.to_owned())).collect();

    assert_eq!(documented, routes);
}

#[test]
fn every_route_parses_as_an_action() {
    for route in ROUTES {
        let path = route.path.replace(['{', '}'], "");
        assert!(ebonyusher::admin::Action::parse(route.method, &path).is_some(), "{}", route.path);
    }
}

#[rstest]
#[case::wrong_key("wrong", TEAM, 1, "bad-key")]
#[case::foreign_team(OPERATOR_KEY, "petrov", 0, "foreign-team")]
#[case::stale_version(OPERATOR_KEY, TEAM, 0, "stale")]
#[tokio::test]
async fn a_bad_change_is_refused_and_changes_nothing(
    #[case] key: &str,
    #[case] team_name: &str,
    #[case] version: u64,
    #[case] reason: &str,
) {
    let cluster = TestCluster::start(0, 1, 1).await;
    let client = AdminClient::new(cluster.entries[0].admin_addr(), key);
    let mut settings = team();
    settings.routes.pop();

    let refused = client.replace(team_name, &settings, version).await.unwrap_err();

    let ClientError::Refused(problem) = refused else { panic!("{refused}") };
    assert_eq!(problem.reason, reason);
    assert_eq!(cluster.admin().read(TEAM).await.unwrap().version, 1);
}

#[tokio::test]
async fn invalid_settings_are_refused_with_their_place_and_change_nothing() {
    let cluster = TestCluster::start(0, 1, 1).await;
    let mut settings = team();
    settings.routes[0].service = "none".to_owned();

    let refused = cluster.admin().replace(TEAM, &settings, 1).await.unwrap_err();

    let ClientError::Refused(problem) = refused else { panic!("{refused}") };
    assert_eq!(problem.place.as_deref(), Some("routes[0].service"));
    assert_eq!(cluster.admin().read(TEAM).await.unwrap().version, 1);
}

#[tokio::test]
async fn one_of_two_concurrent_changes_is_refused_with_the_differences() {
    let cluster = TestCluster::start(0, 1, 2).await;
    let (mut left, mut right) = (team(), team());
    left.routes.pop();
    right.accounts.get_mut("osu").unwrap().weight = 2.0;
    let second_entry = AdminClient::new(cluster.entries[1].admin_addr(), OPERATOR_KEY);

    let first_entry = cluster.admin();
    let (first, second) =
        tokio::join!(first_entry.replace(TEAM, &left, 1), second_entry.replace(TEAM, &right, 1));

    let refused: Vec<ClientError> = [first, second].into_iter().filter_map(Result::err).collect();
    let [ClientError::Refused(problem)] = refused.as_slice() else { panic!("{refused:?}") };
    assert_eq!((problem.reason.as_str(), problem.version), ("stale", Some(2)));
    assert!(!problem.changes.is_empty());
}

#[tokio::test]
async fn operators_can_list_revisions_and_drain_an_upstream() {
    let cluster = TestCluster::start(1, 1, 1).await;
    let admin = cluster.admin();

    admin.drain("chat-0", true).await.unwrap();
    let members = cluster.entries[0].members();
    wait_until(|| members.status()["chat-0"].leaving).await;
    let drained = admin.status().await.unwrap();
    admin.drain("chat-0", false).await.unwrap();
    wait_until(|| !members.status()["chat-0"].leaving).await;

    assert_eq!(drained.upstreams["ledger-0"].revision, 1);
    assert!(drained.upstreams["chat-0"].leaving && !drained.upstreams["ledger-0"].leaving);
    let log = admin.revisions(TEAM).await.unwrap();
    assert_eq!((log.len(), log[0].operator.as_str()), (1, "akwaaba-operator"));
}
