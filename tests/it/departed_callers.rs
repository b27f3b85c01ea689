use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher_bench::client::Caller;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::test_cluster::{CALLER_KEY, TestCluster};

/// Time after which the caller leaves.
const PATIENCE: Duration = Duration::from_millis(300);

/// Starts an upstream that never answers. Returns its address and, for each connection with a
/// request, how it ended.
async fn silent_upstream() -> (std::net::SocketAddr, mpsc::UnboundedReceiver<Option<ErrorKind>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let end = stream.read(&mut request).await;
                    sender.send(end.err().map(|err| err.kind())).ok();
                }
            });
        }
    });
    (addr, receiver)
}

#[tokio::test]
async fn a_sidecar_takes_back_the_request_of_a_caller_that_has_left() {
    let (addr, mut ends) = silent_upstream().await;
    let cluster = TestCluster::start_before_ledger(addr).await;

    let caller = Caller::new(CALLER_KEY);
    let to = cluster.entries[0].data_addr();
    let call = caller.send(to, Method::GET, "/ledger/1", None, Bytes::new());
    let left = timeout(PATIENCE, call).await;

    assert!(left.is_err());
    let end = timeout(Duration::from_secs(5), ends.recv()).await.expect("the request ends");
    assert_eq!(end.unwrap(), Some(ErrorKind::ConnectionReset));
}
