use std::collections::BTreeSet;

use ebonyusher::admin::{AdminClient, ClientError, OPENAPI, ROUTES};
use rstest::rstest;
use serde_json::Value;

use crate::site::{OPERATOR_KEY, Site, TEAM, team, until};

#[test]
fn the_openapi_file_names_exactly_the_routes() {
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
        ROUTES.iter().map(|line| (line.method.to_owned(), line.path.to_owned())).collect();

    assert_eq!(documented, routes);
}

#[test]
fn every_route_is_an_action() {
    for line in ROUTES {
        let path = line.path.replace(['{', '}'], "");
        assert!(ebonyusher::admin::Action::parse(line.method, &path).is_some(), "{}", line.path);
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
    let site = Site::start(0, 1, 1).await;
    let client = AdminClient::new(site.entries[0].admin_addr(), key);
    let mut settings = team();
    settings.routes.pop();

    let refused = client.replace(team_name, &settings, version).await.unwrap_err();

    let ClientError::Refused(problem) = refused else { panic!("{refused}") };
    assert_eq!(problem.reason, reason);
    assert_eq!(site.admin().read(TEAM).await.unwrap().version, 1);
}

#[tokio::test]
async fn a_fault_in_the_settings_is_named_and_changes_nothing() {
    let site = Site::start(0, 1, 1).await;
    let mut settings = team();
    settings.routes[0].service = "none".to_owned();

    let refused = site.admin().replace(TEAM, &settings, 1).await.unwrap_err();

    let ClientError::Refused(problem) = refused else { panic!("{refused}") };
    assert_eq!(problem.place.as_deref(), Some("routes[0].service"));
    assert_eq!(site.admin().read(TEAM).await.unwrap().version, 1);
}

#[tokio::test]
async fn of_two_operators_at_once_one_wins_and_the_other_is_shown_the_difference() {
    let site = Site::start(0, 1, 2).await;
    let (mut left, mut right) = (team(), team());
    left.routes.pop();
    right.accounts.get_mut("osu").unwrap().weight = 2.0;
    let other = AdminClient::new(site.entries[1].admin_addr(), OPERATOR_KEY);

    let here = site.admin();
    let (first, second) =
        tokio::join!(here.replace(TEAM, &left, 1), other.replace(TEAM, &right, 1));

    let refused: Vec<ClientError> = [first, second].into_iter().filter_map(Result::err).collect();
    let [ClientError::Refused(problem)] = refused.as_slice() else { panic!("{refused:?}") };
    assert_eq!((problem.reason.as_str(), problem.version), ("stale", Some(2)));
    assert!(!problem.changes.is_empty());
}

#[tokio::test]
async fn operators_see_revisions_upstreams_and_drain_one() {
    let site = Site::start(1, 1, 1).await;
    let admin = site.admin();

    admin.drain("chat-0", true).await.unwrap();
    let members = site.entries[0].members();
    until(|| members.status()["chat-0"].leaving).await;
    let drained = admin.status().await.unwrap();
    admin.drain("chat-0", false).await.unwrap();
    until(|| !members.status()["chat-0"].leaving).await;

    assert_eq!(drained.upstreams["ledger-0"].revision, 1);
    assert!(drained.upstreams["chat-0"].leaving && !drained.upstreams["ledger-0"].leaving);
    let log = admin.revisions(TEAM).await.unwrap();
    assert_eq!((log.len(), log[0].operator.as_str()), (1, "akwaaba-operator"));
}
