//! An invalid trace is rejected with the number of the faulty line.

use ebonyusher_bench::expert::{TraceHeader, TraceKind, generate_trace, parse_trace};
use rstest::rstest;

const HEADER: &str = r#"{"ranks":2,"experts":3,"slots":2,"layers":1,"expert_bytes":1,"step_ms":1}"#;

#[rstest]
#[case::empty("", "line 1: ")]
#[case::not_json("{", "line 1: ")]
#[case::too_few_slots(
    r#"{"ranks":1,"experts":9,"slots":2,"layers":1,"expert_bytes":1,"step_ms":1}"#,
    "line 1: expected ranks * slots >= experts"
)]
#[case::no_steps(HEADER, "line 1: the trace has no steps")]
fn an_invalid_header_is_rejected(#[case] text: &str, #[case] expected: &str) {
    let error = parse_trace(text).unwrap_err().to_string();

    assert!(error.starts_with(expected), "{error}");
}

#[rstest]
#[case::wrong_length(r#"{"step":0,"layer":0,"tokens":[1,2]}"#, "line 2: expected 3 tokens, got 2")]
#[case::negative(
    r#"{"step":0,"layer":0,"tokens":[1,2,-3]}"#,
    "line 2: expected tokens of 0 or more"
)]
#[case::out_of_order(r#"{"step":1,"layer":0,"tokens":[1,2,3]}"#, "line 2: step 1 is out of order")]
#[case::unknown_layer(
    r#"{"step":0,"layer":1,"tokens":[1,2,3]}"#,
    "line 2: expected layer 0, got 1"
)]
#[case::zero_speed(r#"{"step":0,"speed":[1,0]}"#, "line 2: expected speeds above 0")]
#[case::no_json("x", "line 2: expected token counts or speeds")]
fn an_invalid_line_is_rejected(#[case] line: &str, #[case] expected: &str) {
    let error = parse_trace(&format!("{HEADER}\n{line}")).unwrap_err().to_string();

    assert_eq!(error, expected);
}

#[test]
fn a_generated_trace_is_equal_after_a_round_trip() {
    let header =
        TraceHeader { ranks: 4, experts: 8, slots: 3, layers: 2, expert_bytes: 1, step_ms: 1.0 };
    let generated = generate_trace(TraceKind::Straggler, header, 9, 3);

    let read = parse_trace(&generated.to_text()).unwrap();

    assert_eq!(read, generated);
}
