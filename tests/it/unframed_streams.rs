//! Answers whose end the framing does not tell, and answers that end within their head.

use std::net::SocketAddr;

use bytes::Bytes;
use ebonyusher_bench::client::Caller;
use http::Method;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::test_cluster::{CALLER_KEY, TestCluster};

/// Starts an upstream that answers each request with these events, with neither a length nor chunks.
async fn unframed_upstream(events: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if stream.read(&mut [0; 4096]).await.is_ok_and(|count| count > 0) {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    stream.write_all(format!("{head}{events}").as_bytes()).await.ok();
                }
            });
        }
    });
    addr
}

/// A stream that ends inside an event has been broken off, also where it is not resumed.
#[rstest]
#[case::between_events("id: 1\ndata: a\n\n", true)]
#[case::inside_an_event("id: 1\ndata: a\n\nid: 2\nda", false)]
#[tokio::test]
async fn the_end_of_a_stream_without_length_or_chunks_tells_whether_it_is_whole(
    #[case] events: &'static str,
    #[case] is_whole: bool,
) {
    let addr = unframed_upstream(events).await;
    let cluster = TestCluster::start_before_ledger(addr).await;

    let to = cluster.entries[0].data_addr();
    let caller = Caller::new(CALLER_KEY);
    let got = caller.send(to, Method::GET, "/ledger/1", None, Bytes::new()).await.unwrap();

    assert_eq!(got.ended_cleanly, is_whole);
}

/// Starts an upstream that answers the first request of each connection whole and the next one with
/// a head of which so many bytes are missing, after which it closes the connection.
async fn upstream_with_half_heads(missing: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n";
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let whole = format!("{head}whole");
                for answer in [whole.as_str(), &head[..head.len() - missing]] {
                    if stream.read(&mut [0; 4096]).await.is_ok_and(|count| count > 0) {
                        stream.write_all(answer.as_bytes()).await.ok();
                    }
                }
            });
        }
    });
    addr
}

/// Guards against an answer that is passed on as whole although its upstream stopped within the head
/// (issue 51, first report).
#[rstest]
#[case::look_up(Method::GET, "/ledger/1")]
#[case::order(Method::POST, "/ledger/orders")]
#[tokio::test]
async fn half_a_head_from_behind_a_sidecar_is_no_answer(
    #[case] method: Method,
    #[case] path: &str,
    #[values(1, 2, 4, 21, 23, 40, 60)] missing: usize,
) {
    let addr = upstream_with_half_heads(missing).await;
    let cluster = TestCluster::start_before_ledger(addr).await;
    let (to, caller) = (cluster.entries[0].data_addr(), Caller::new(CALLER_KEY));

    let mut got = Vec::new();
    for _ in 0..4 {
        let reply = caller.send(to, method.clone(), path, None, Bytes::new()).await.unwrap();
        got.push((reply.status, reply.ended_cleanly, reply.body));
    }

    let is_whole =
        |(status, ended, body): &(u16, bool, Vec<u8>)| *status == 200 && *ended && body == b"whole";
    let is_failed = |(status, ..): &(u16, bool, Vec<u8>)| *status >= 500;
    assert!(got.iter().any(is_whole), "{got:?}");
    assert!(got.iter().all(|reply| is_whole(reply) || is_failed(reply)), "{got:?}");
}
