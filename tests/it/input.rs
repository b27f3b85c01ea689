//! Invalid settings, fault specifications and requests are refused with an error that names the
//! cause.

use bytes::Bytes;
use ebonyusher::net::h1_client;
use ebonyusher::outcome::Problem;
use ebonyusher::settings::{EntryFile, Team, check_team, parse};
use ebonyusher_bench::load::FaultAt;
use http::Request;
use http_body_util::{BodyExt, Full};
use rstest::rstest;

use crate::test_cluster::{CALLER_KEY, TestCluster, team};

#[rstest]
#[case::not_json("{", ".")]
#[case::unknown_field(r#"{"services":{},"routes":[],"accounts":{},"more":1}"#, "more")]
#[case::wrong_type(r#"{"services":7}"#, "services")]
#[case::no_unit(
    r#"{"services":{"a":{"kind":"plain","slots":1,"deadline":20}}}"#,
    "services.a.deadline"
)]
#[case::bad_kind(r#"{"services":{"a":{"kind":"other"}}}"#, "services.a.kind")]
#[case::short_digest(
    r#"{"services":{},"routes":[],"accounts":{"a":{"keys":["00"]}}}"#,
    "accounts.a.keys[0]"
)]
fn a_settings_parse_error_names_its_place(#[case] text: &str, #[case] place: &str) {
    let error = parse::<Team>(text).unwrap_err().to_string();

    assert!(error.starts_with(&format!("{place}: ")), "{error}");
}

/// Makes valid settings invalid.
type BreakSettings = fn(&mut Team);

#[rstest]
#[case::unknown_service(|team: &mut Team| team.routes[0].service = "none".into(), "routes[0].service")]
#[case::bad_path(|team: &mut Team| team.routes[1].path = "chat".into(), "routes[1].path")]
#[case::bad_method(|team: &mut Team| team.routes[0].methods = vec!["post".into()], "routes[0].methods")]
#[case::no_slots(|team: &mut Team| team.services.get_mut("chat").unwrap().slots = 0, "services.chat.slots")]
#[case::bad_share(
    |team: &mut Team| team.services.get_mut("chat").unwrap().retry_share = 2.0,
    "services.chat.retry-share"
)]
#[case::bad_weight(|team: &mut Team| team.accounts.get_mut("osu").unwrap().weight = 0.0, "accounts.osu.weight")]
#[case::key_twice(
    |team: &mut Team| { let copy = team.accounts["osu"].clone(); team.accounts.insert("tema".into(), copy); },
    "accounts.tema.keys"
)]
#[case::bad_name(
    |team: &mut Team| { let copy = team.services["chat"].clone(); team.services.insert("Chat".into(), copy); },
    "services.Chat"
)]
fn a_settings_check_error_names_its_place(
    #[case] break_settings: BreakSettings,
    #[case] place: &str,
) {
    let mut settings = team();
    break_settings(&mut settings);

    let error = check_team(&settings).unwrap_err();

    assert_eq!(error.place, place);
}

#[test]
fn the_example_settings_are_valid() {
    for text in [
        include_str!("../../examples/akwaaba/team.json"),
        include_str!("../../examples/petrov/team.json"),
    ] {
        let settings: Team = parse(text).unwrap();
        assert_eq!(check_team(&settings), Ok(()));
    }
    let entry: EntryFile = parse(include_str!("../../examples/akwaaba/entry-1.json")).unwrap();
    assert_eq!(entry.domain, "osu");
}

#[rstest]
#[case::unknown("nothing")]
#[case::bad_second("stall@soon")]
fn a_malformed_fault_is_refused(#[case] text: &str) {
    let error = text.parse::<FaultAt>().unwrap_err();

    assert!(error.contains("expected"), "{error}");
}

struct TestRequest {
    key: &'static str,
    path: &'static str,
    header: (&'static str, &'static str),
    body: usize,
}

/// A request that is accepted. Its header is an unknown one and has no effect.
const VALID: TestRequest =
    TestRequest { key: CALLER_KEY, path: "/ledger/orders", header: ("x", "y"), body: 2 };

#[rstest]
#[case::wrong_key(TestRequest { key: "wrong", ..VALID }, 401, "bad-key")]
#[case::unknown_route(TestRequest { path: "/nowhere", ..VALID }, 404, "no-route")]
#[case::zero_deadline(
    TestRequest { header: ("ebonyusher-deadline-ms", "0"), ..VALID },
    400,
    "bad-header"
)]
#[case::bad_deadline(
    TestRequest { header: ("ebonyusher-deadline-ms", "soon"), ..VALID },
    400,
    "bad-header"
)]
#[case::empty_key(TestRequest { header: ("idempotency-key", ""), ..VALID }, 400, "bad-header")]
#[case::oversized(TestRequest { body: 65 << 10, ..VALID }, 413, "body-too-large")]
#[tokio::test]
async fn a_bad_request_is_refused_and_runs_nothing(
    #[case] test_request: TestRequest,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let cluster = TestCluster::start(0, 1, 1).await;
    let request =
        Request::post(format!("http://{}{}", cluster.entries[0].data_addr(), test_request.path))
            .header("authorization", format!("Bearer {}", test_request.key))
            .header(test_request.header.0, test_request.header.1)
            .body(Full::new(Bytes::from(vec![b'x'; test_request.body])))
            .unwrap();

    let answer = h1_client().request(request).await.unwrap();

    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()["ebonyusher-outcome"], "not-run");
    assert_eq!(answer.headers()["content-type"], "application/problem+json");
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    let problem: Problem = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem.reason, reason);
    assert_eq!(cluster.plain_upstreams[0].handler.starts().count(), 0);
}
