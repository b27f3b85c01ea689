//! HTTP/2: many requests on few connections.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::net::{BodySender, ChannelBody};
use ebonyusher_standin::PeakUsage;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{CALLER_KEY, Cluster, MAX_BODY_BYTES};
use crate::memory::NODE_BYTES;

const CONNECTIONS: usize = 4;
const STREAMS: usize = 100;
const PIECE_BYTES: usize = 32 << 10;
/// Window of callers that don't read, and size of their bodies, which the answers repeat.
const UNREAD_WINDOW_BYTES: u32 = 1 << 10;
const UNREAD_BODY_BYTES: usize = 256 << 10;
/// Time that callers have to send what they can.
const SEND_TIME: Duration = Duration::from_secs(6);

#[tokio::test]
async fn bodies_of_streams_that_dont_end() {
    let mut cluster = Cluster::start().await;
    let peak = PeakUsage::watch(cluster.entry.pid());
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(cluster.entry_addr).await.expect("a connection");
        let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
        let (mut client, conn) = handshake.expect("HTTP/2");
        tokio::spawn(conn);
        for _ in 0..STREAMS {
            let (sender, body) = ChannelBody::new();
            let request = Request::post("http://e/ledger")
                .header("authorization", format!("Bearer {CALLER_KEY}"))
                .body(body)
                .expect("a request");
            let answer = client.send_request(request);
            callers.spawn(async move {
                tokio::join!(send_short(sender), async { answer.await.ok() });
            });
        }
    }
    sleep(SEND_TIME).await;

    cluster.serves(100).await;
    callers.shutdown().await;
    cluster.serves(MAX_BODY_BYTES).await;

    let (memory, _) = peak.close();
    eprintln!("{} MB at its peak", memory >> 20);
    assert!(cluster.entry.is_running());
    assert!(memory <= NODE_BYTES, "{} MB held", memory >> 20);
}

#[tokio::test]
async fn answers_of_streams_that_nobody_reads() {
    let mut cluster = Cluster::start().await;
    let peak = PeakUsage::watch(cluster.entry.pid());
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(cluster.entry_addr).await.expect("a connection");
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder.initial_stream_window_size(UNREAD_WINDOW_BYTES);
        let (mut client, conn) =
            builder.handshake(TokioIo::new(stream)).await.expect("HTTP/2 is spoken");
        tokio::spawn(conn);
        for _ in 0..STREAMS {
            let body = Full::new(Bytes::from(vec![b'x'; UNREAD_BODY_BYTES]));
            let request = Request::post("http://e/ledger")
                .header("authorization", format!("Bearer {CALLER_KEY}"))
                .body(body)
                .expect("a request");
            let answer = client.send_request(request);
            callers.spawn(async move {
                // The body of the answer is kept and not read.
                let _answer = answer.await;
                pending::<()>().await;
            });
        }
    }
    sleep(SEND_TIME).await;

    cluster.serves(100).await;
    callers.shutdown().await;
    cluster.serves(MAX_BODY_BYTES).await;

    let (memory, _) = peak.close();
    eprintln!("{} MB at its peak", memory >> 20);
    assert!(cluster.entry.is_running() && cluster.sidecar.is_running());
    assert!(memory <= NODE_BYTES, "{} MB held", memory >> 20);
}

/// Sends a body without its end, and stays.
async fn send_short(sender: BodySender) {
    let piece = Bytes::from(vec![b'x'; PIECE_BYTES]);
    for _ in 1..MAX_BODY_BYTES / PIECE_BYTES {
        if !sender.send(piece.clone()).await {
            return;
        }
    }
    sender.closed().await;
}
