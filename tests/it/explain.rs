//! The explanation of a request from saved logs.

use ebonyusher::ctl::explain;

const LOG: &str = r#"{"at":100,"node":"entry-2","event":"crashed","upstream":"u-1","print":"7f","crashes":3,"proof":"connection refused"}
{"at":110,"node":"entry-2","event":"crashed","upstream":"u-1","print":"8a","crashes":1,"proof":"connection refused"}
{"at":9000,"node":"entry-1","event":"suspected","id":"earlier","upstream":"u-2","print":"7f","sign":"silence"}
{"at":20000,"node":"entry-1","event":"quarantined","id":"before","print":"7f","crashes":3}
{"at":30000,"node":"entry-1","event":"quarantined","id":"asked","print":"7f","crashes":3}
{"at":30000,"node":"entry-1","event":"ended","id":"asked","status":503,"reason":"poison"}
{"at":40000,"node":"entry-1","event":"crashes-cleared","id":"later","print":"7f","crashes":3}"#;

#[test]
fn a_quarantined_request_is_explained_by_the_crashes_at_all_entries() {
    let lines = explain("asked", LOG);

    assert_eq!(
        lines,
        [
            "-29900 ms entry-2 crashed crashes=3 print=7f proof=connection refused upstream=u-1",
            "-21000 ms entry-1 suspected print=7f sign=silence upstream=u-2",
            "+0 ms entry-1 quarantined crashes=3 print=7f",
            "+0 ms entry-1 ended reason=poison status=503",
        ]
    );
}
