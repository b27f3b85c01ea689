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
