use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::net::{
    AnswerBody, BodyError, CallerBounds, Handler, HttpClient, Shutdown, collect, h1_client,
    h2_client, serve,
};
use ebonyusher_standin::loopback;
use hdrhistogram::Histogram;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::MapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use procfs::process::Process;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};
use tokio_util::task::TaskTracker;

use super::settings::account_key;
use crate::client::Caller;

/// Look-ups sent to measure CPU time.
const CPU_LOOKUPS: usize = 6_000;
/// Concurrent callers that send them.
const CPU_CALLERS: usize = 16;
/// Interval between look-ups sent to measure latency.
const PACED_INTERVAL: Duration = Duration::from_millis(4);
/// Look-ups sent to measure latency.
const PACED_LOOKUPS: usize = 1_500;
const MAX_BODY_BYTES: u64 = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Overhead of the system over requests sent directly to the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// Difference of the 99th percentile of look-up times.
    pub added_p99_ms: f64,
    /// The same difference for two minimal proxies in a row.
    pub passthrough_added_p99_ms: f64,
    /// CPU time that entry and sidecar add, divided by the CPU time that the two proxies add.
    pub cpu_ratio: f64,
}

/// Minimal proxy that forwards requests to one address with the same HTTP library.
#[derive(Debug)]
struct PassThrough {
    client: HttpClient,
    to: SocketAddr,
}

/// Response body of the proxy, streamed from the upstream.
type PassThroughBody = AnswerBody<MapErr<Incoming, fn(hyper::Error) -> BodyError>>;

impl Handler for PassThrough {
    type Body = PassThroughBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<PassThroughBody> {
        let (head, body) = request.into_parts();
        let body = collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let request = Request::builder()
            .method(head.method.clone())
            .uri(format!("http://{}{path}", self.to))
            .body(Full::new(body));
        let answer = match request {
            Ok(request) => self.client.request(request).await.ok(),
            Err(_) => None,
        };
        answer.map_or_else(
            || {
                let mut answer = Response::new(PassThroughBody::whole(Bytes::new()));
                *answer.status_mut() = StatusCode::BAD_GATEWAY;
                answer
            },
            |answer| answer.map(|body| PassThroughBody::stream(body.map_err(BodyError::from))),
        )
    }
}

/// Measures look-ups sent directly to an upstream, through two pass-through proxies, and through
/// the system: latency at a slow pace, CPU time at full speed.
///
/// # Errors
/// If no port is available.
pub async fn measure_baseline(
    upstream: SocketAddr,
    entry: SocketAddr,
) -> std::io::Result<Baseline> {
    let inner = start_pass_through(h1_client(), upstream).await?;
    let outer = start_pass_through(h2_client(), inner).await?;
    let direct = paced_times(upstream).await;
    let pass_through = paced_times(outer).await;
    let system = paced_times(entry).await;
    let direct_cpu = lookup_cpu(upstream).await;
    let pass_through_cpu = lookup_cpu(outer).await;
    let system_cpu = lookup_cpu(entry).await;
    Ok(Baseline {
        added_p99_ms: p99_ms(&system) - p99_ms(&direct),
        passthrough_added_p99_ms: p99_ms(&pass_through) - p99_ms(&direct),
        cpu_ratio: (system_cpu - direct_cpu) / (pass_through_cpu - direct_cpu),
    })
}

async fn start_pass_through(client: HttpClient, to: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(loopback()).await?;
    let addr = listener.local_addr()?;
    let handler = Arc::new(PassThrough { client, to });
    tokio::spawn(serve(
        listener,
        handler,
        CallerBounds::default(),
        Shutdown::default(),
        TaskTracker::new(),
    ));
    Ok(addr)
}

/// Sends look-ups at a steady pace and returns their times in microseconds.
async fn paced_times(to: SocketAddr) -> Histogram<u64> {
    let caller = Caller::new(&account_key(0));
    let mut times = Histogram::new(3).expect("three digits are valid");
    let mut tasks = JoinSet::new();
    let mut ticks = interval(PACED_INTERVAL);
    for _ in 0..PACED_LOOKUPS {
        ticks.tick().await;
        let caller = caller.clone();
        tasks.spawn(async move { lookup(&caller, to).await });
    }
    while let Some(Ok(time)) = tasks.join_next().await {
        times.record(time.as_micros() as u64).ok();
    }
    times
}

async fn lookup(caller: &Caller, to: SocketAddr) -> Duration {
    let began = Instant::now();
    caller.send(to, Method::GET, "/ledger/members/1", None, Bytes::new()).await.ok();
    began.elapsed()
}

/// Returns the CPU seconds that this process uses for [`CPU_LOOKUPS`] look-ups.
async fn lookup_cpu(to: SocketAddr) -> f64 {
    let before = cpu_seconds();
    let mut tasks = JoinSet::new();
    for _ in 0..CPU_CALLERS {
        let caller = Caller::new(&account_key(0));
        tasks.spawn(async move {
            for _ in 0..CPU_LOOKUPS / CPU_CALLERS {
                lookup(&caller, to).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    cpu_seconds() - before
}

/// Returns the CPU seconds that this process has used.
pub(crate) fn cpu_seconds() -> f64 {
    let stat = Process::myself().and_then(|process| process.stat());
    let ticks = stat.map_or(0, |stat| stat.utime + stat.stime);
    ticks as f64 / procfs::ticks_per_second() as f64
}

fn p99_ms(times: &Histogram<u64>) -> f64 {
    times.value_at_quantile(0.99) as f64 / 1e3
}
