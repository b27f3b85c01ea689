use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use ebonyusher::admin::{AdminClient, ClientError};
use ebonyusher::metrics::{Event, Meter};
use ebonyusher::net::is_not_sent;
use ebonyusher::outcome::Outcome;
use ebonyusher_standin::FleetError;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::fault_injector::{Balancer, FaultInjector};
use super::load_cluster::LoadCluster;
use super::load_request::LoadRequest;
use super::settings::{CHAT, TEAM, account_key, team};
use super::tally::Tally;
use super::{Baseline, Fault, LoadOptions, LoadReport, measure_baseline};
use crate::client::{Caller, CallerError, Reply};

const OPERATOR_KEY: &str = "load-operator-key";
/// Interval between settings changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait until a settings change is applied everywhere.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum repeats of an order that was not answered as run.
const REPEATS: usize = 3;
const REPEAT_DELAY: Duration = Duration::from_millis(300);
/// Time for the effects of a fault to end before the ledger is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Why a load run failed.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum LoadError {
    /// {0}
    Fleet(#[from] FleetError),
    /// {0}
    Admin(#[from] ClientError),
    /// can't listen: {0}
    Listen(#[from] std::io::Error),
}

/// Event that is scheduled for a time of the run.
#[derive(Clone, Copy, Debug)]
enum ScheduledEvent {
    Begin(Fault),
    End(Fault),
    Settings,
}

/// Counters of all nodes, kept because a node may be gone at the end of the run.
pub(super) struct Meters {
    pub(super) entries: Vec<Arc<Meter>>,
    pub(super) sidecars: Vec<Arc<Meter>>,
    /// Control traffic in bytes before the run.
    pub(super) control_bytes_before: u64,
}

/// Runs load with faults and reports the results.
///
/// # Errors
/// [`LoadError`] if the cluster can't be started or its first settings are not accepted.
pub async fn run(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    let cluster = LoadCluster::start(options).await?;
    let revision = replace_settings(&cluster, options, 0).await?;
    cluster.wait_revision(revision, SETTINGS_TIMEOUT).await;
    cluster.wait_links().await;
    let baseline = baseline(&cluster, options).await?;
    let meters = Meters::of(&cluster);
    let started_before = started_requests(&cluster);
    let (reads, writes) = cluster.fleet.platform.platform.call_counts();
    let balancer = Balancer::new(cluster.live_entries().map(|node| node.data_addr()).collect());
    let tally = Arc::new(Tally::new());
    let generator =
        tokio::spawn(generate_load(options.clone(), balancer.clone(), Arc::clone(&tally)));
    let mut injector =
        FaultInjector { cluster, balancer, tasks: JoinSet::new(), left_upstream: None };
    let began = Instant::now();
    let mut report = LoadReport::default();
    run_schedule(&mut injector, options, &mut report).await?;
    generator.await.ok();
    let elapsed = began.elapsed().as_secs_f64();
    while injector.tasks.join_next().await.is_some() {}
    sleep(SETTLE_TIME).await;
    let after = injector.cluster.fleet.platform.platform.call_counts();
    report.table_reads_s = (after.0 - reads) as f64 / elapsed;
    report.table_writes_s = (after.1 - writes) as f64 / elapsed;
    report.fill_meters(&meters, elapsed);
    report.fill_counts(&tally.lock(), options, elapsed);
    report.fill_upstreams(&injector, &tally.lock(), started_before);
    report.added_p99_ms = baseline.added_p99_ms;
    report.cpu_ratio_to_passthrough = baseline.cpu_ratio;
    Ok(report)
}

async fn baseline(cluster: &LoadCluster, options: &LoadOptions) -> Result<Baseline, LoadError> {
    let entry = cluster.live_entries().next().map(|node| node.data_addr());
    match entry.filter(|_| options.baselines) {
        Some(entry) => Ok(measure_baseline(cluster.plain_services[0].addr(), entry).await?),
        None => Ok(Baseline::default()),
    }
}

/// Replaces the settings through an entry that is alive, and returns the new revision. The retry
/// share alternates with the version, so that the settings change.
async fn replace_settings(
    cluster: &LoadCluster,
    options: &LoadOptions,
    version: u64,
) -> Result<u64, LoadError> {
    let admin = cluster.live_entries().next().map(|node| node.admin_addr());
    let Some(admin) = admin else { return Ok(0) };
    let client = AdminClient::new(admin, OPERATOR_KEY);
    let mut settings = team(options.accounts);
    if let Some(service) = settings.services.get_mut(CHAT) {
        service.retry_share = 0.1 + (version % 2) as f64 * 1e-3;
    }
    Ok(client.replace(TEAM, &settings, version).await?.revision)
}

/// Begins and ends faults and changes settings at their scheduled times.
async fn run_schedule(
    injector: &mut FaultInjector,
    options: &LoadOptions,
    report: &mut LoadReport,
) -> Result<(), LoadError> {
    let began = Instant::now();
    let mut events: Vec<(Duration, ScheduledEvent)> = Vec::new();
    for timed in &options.faults {
        let second = timed.second.unwrap_or(options.seconds / 2.0);
        events.push((Duration::from_secs_f64(second), ScheduledEvent::Begin(timed.fault)));
    }
    let mut change_time = SETTINGS_INTERVAL;
    while change_time.as_secs_f64() < options.seconds {
        events.push((change_time, ScheduledEvent::Settings));
        change_time += SETTINGS_INTERVAL;
    }
    let mut version = 1;
    while let Some(next) = take_earliest(&mut events) {
        sleep_until(began + next.0).await;
        match next.1 {
            ScheduledEvent::Begin(fault) => {
                if let Some(time) = injector.begin(fault) {
                    events.push((began.elapsed() + time, ScheduledEvent::End(fault)));
                }
            }
            ScheduledEvent::End(fault) => injector.end(fault),
            // A change fails while the platform is down; the version then stays the same.
            ScheduledEvent::Settings => {
                if let Ok(revision) = replace_settings(&injector.cluster, options, version).await {
                    // Only one team is changed, so its version is equal to the revision.
                    version = revision;
                    let spread = injector.cluster.wait_revision(revision, SETTINGS_TIMEOUT).await;
                    let spread = spread.unwrap_or(SETTINGS_TIMEOUT).as_secs_f64() * 1e3;
                    report.settings_spread_ms = report.settings_spread_ms.max(spread);
                }
            }
        }
    }
    Ok(())
}

fn take_earliest(
    events: &mut Vec<(Duration, ScheduledEvent)>,
) -> Option<(Duration, ScheduledEvent)> {
    let index = (0..events.len()).min_by_key(|index| events[*index].0)?;
    Some(events.swap_remove(index))
}

/// Sends requests as a Poisson process, without waiting for answers.
async fn generate_load(options: LoadOptions, balancer: Balancer, tally: Arc<Tally>) {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let callers: Vec<Caller> =
        (0..options.accounts).map(|index| Caller::new(&account_key(index))).collect();
    let weight = options.accounts as f64 - 1.0 + options.hot_factor;
    let rate = options.rate * weight / options.accounts as f64;
    let began = Instant::now();
    let mut arrival = 0.0;
    let mut tasks = JoinSet::new();
    for serial in 0.. {
        arrival += -(1.0 - rng.random::<f64>()).ln() / rate;
        if arrival >= options.seconds {
            break;
        }
        let draw = rng.random::<f64>() * weight;
        let account =
            if draw < options.hot_factor { 0 } else { (draw - options.hot_factor) as usize + 1 };
        let account = account.min(options.accounts - 1);
        let request = LoadRequest::generate(serial, account, options.chat_share, &mut rng);
        let first_entry = rng.random::<u32>() as usize;
        sleep_until(began + Duration::from_secs_f64(arrival)).await;
        let (caller, balancer) = (callers[account].clone(), balancer.clone());
        tasks.spawn(send_with_repeats(caller, balancer, request, first_entry, Arc::clone(&tally)));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

/// Sends a request, first to the entry at index `first_entry`; repeats an order with the same key
/// while it is not answered as run.
async fn send_with_repeats(
    caller: Caller,
    balancer: Balancer,
    request: LoadRequest,
    first_entry: usize,
    tally: Arc<Tally>,
) {
    let repeats = if request.key.is_some() { REPEATS } else { 0 };
    for repeat in 0..=repeats {
        let reply = send(&caller, &balancer, &request, first_entry + repeat).await;
        tally.record(&request, reply.as_ref(), repeat > 0);
        if reply.is_some_and(|reply| reply.outcome == Some(Outcome::Ran) && reply.ended_cleanly) {
            return;
        }
        sleep(REPEAT_DELAY).await;
    }
}

/// Sends a request to the entry at index `first_entry`, modulo the number of entries. The balancer
/// tries the next entry if one refuses the connection.
async fn send(
    caller: &Caller,
    balancer: &Balancer,
    request: &LoadRequest,
    first_entry: usize,
) -> Option<Reply> {
    let entries = balancer.entries();
    for offset in 0..entries.len() {
        let to = entries[(first_entry + offset) % entries.len()];
        let key = request.key.as_deref();
        let sent =
            caller.send(to, request.method(), &request.path, key, request.body.clone()).await;
        match sent {
            Ok(reply) => return Some(reply),
            Err(CallerError::NoAnswer(err)) if is_not_sent(&err) => {}
            Err(_) => return None,
        }
    }
    None
}

impl Meters {
    fn of(cluster: &LoadCluster) -> Self {
        let sidecars = cluster.sidecars.iter().filter_map(|sidecar| sidecar.isolated.node.as_ref());
        let mut meters = Self {
            entries: cluster.live_entries().map(|node| Arc::clone(node.meter())).collect(),
            sidecars: sidecars.map(|node| Arc::clone(node.meter())).collect(),
            control_bytes_before: 0,
        };
        meters.control_bytes_before = meters.sum(Event::ControlBytes);
        meters
    }

    pub(super) fn sum(&self, event: Event) -> u64 {
        self.entries.iter().chain(&self.sidecars).map(|meter| meter.get(event)).sum()
    }
}

/// Returns the number of requests that have started, over all upstreams.
pub(super) fn started_requests(cluster: &LoadCluster) -> u64 {
    let engines = cluster.engines.iter().map(|engine| engine.handler.starts().count());
    engines.chain(cluster.plain_services.iter().map(|plain| plain.handler.starts().count())).sum()
}
