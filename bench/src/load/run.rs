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

use super::inject::{Balancer, Injector};
use super::settings::{CHAT, TEAM, account_key, team};
use super::site::Site;
use super::tally::Tally;
use super::work::Work;
use super::{Baseline, Fault, LoadOptions, LoadReport, measure};
use crate::client::{Caller, CallerError, Reply};

const OPERATOR_KEY: &str = "load-operator-key";
const SETTINGS_PAUSE: Duration = Duration::from_secs(1);
const SETTINGS_PATIENCE: Duration = Duration::from_secs(20);
/// Repeats of an order that was not answered as run.
const REPEATS: usize = 3;
const REPEAT_PAUSE: Duration = Duration::from_millis(300);
/// Time for what a fault left behind to settle before the ledger is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Why a run of load could not be made.
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

/// What is to happen at a moment of the run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(Fault),
    End(Fault),
    Settings,
}

/// Counters of processes that may be gone at the end.
pub(super) struct Meters {
    pub(super) entries: Vec<Arc<Meter>>,
    pub(super) sidecars: Vec<Arc<Meter>>,
    /// Bytes of control before the run.
    pub(super) bytes: u64,
}

/// Runs load with faults and reports what callers saw.
///
/// # Errors
/// [`LoadError`] if the fleet could not be started.
pub async fn run(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    let site = Site::start(options).await?;
    let revision = apply(&site, options, 0).await?;
    site.wait_revision(revision, SETTINGS_PATIENCE).await;
    site.wait_links().await;
    let baseline = baseline(&site, options).await?;
    let meters = Meters::of(&site);
    let starts_before = starts(&site);
    let (reads, writes) = site.fleet.platform.platform.call_counts();
    let balancer = Balancer::new(site.live_entries().map(|node| node.data_addr()).collect());
    let tally = Arc::new(Tally::new());
    let driver = tokio::spawn(drive(options.clone(), balancer.clone(), Arc::clone(&tally)));
    let mut injector = Injector { site, balancer, tasks: JoinSet::new(), left: None };
    let began = Instant::now();
    let mut report = LoadReport::default();
    direct(&mut injector, options, &mut report).await?;
    driver.await.ok();
    let elapsed = began.elapsed().as_secs_f64();
    while injector.tasks.join_next().await.is_some() {}
    sleep(SETTLE_TIME).await;
    let after = injector.site.fleet.platform.platform.call_counts();
    report.table_reads_s = (after.0 - reads) as f64 / elapsed;
    report.table_writes_s = (after.1 - writes) as f64 / elapsed;
    report.fill_meters(&meters, elapsed);
    report.fill_counts(&tally.lock(), options, elapsed);
    report.fill_upstreams(&injector, &tally.lock(), starts_before);
    report.added_p99_ms = baseline.added_p99_ms;
    report.cpu_ratio_to_passthrough = baseline.cpu_ratio;
    Ok(report)
}

async fn baseline(site: &Site, options: &LoadOptions) -> Result<Baseline, LoadError> {
    let entry = site.live_entries().next().map(|node| node.data_addr());
    match entry.filter(|_| options.baselines) {
        Some(entry) => Ok(measure(site.plains[0].addr(), entry).await?),
        None => Ok(Baseline::default()),
    }
}

/// Changes the settings through an entry that is alive, and tells the new revision.
async fn apply(site: &Site, options: &LoadOptions, version: u64) -> Result<u64, LoadError> {
    let admin = site.live_entries().next().map(|node| node.admin_addr());
    let Some(admin) = admin else { return Ok(0) };
    let client = AdminClient::new(admin, OPERATOR_KEY);
    let mut settings = team(options.accounts);
    if let Some(service) = settings.services.get_mut(CHAT) {
        service.retry_share = 0.1 + (version % 2) as f64 * 1e-3;
    }
    Ok(client.replace(TEAM, &settings, version).await?.revision)
}

/// Brings about faults and settings changes at their moments.
async fn direct(
    injector: &mut Injector,
    options: &LoadOptions,
    report: &mut LoadReport,
) -> Result<(), LoadError> {
    let began = Instant::now();
    let mut steps: Vec<(Duration, Step)> = Vec::new();
    for at in &options.faults {
        let second = at.second.unwrap_or(options.seconds / 2.0);
        steps.push((Duration::from_secs_f64(second), Step::Begin(at.fault)));
    }
    let mut at = SETTINGS_PAUSE;
    while at.as_secs_f64() < options.seconds {
        steps.push((at, Step::Settings));
        at += SETTINGS_PAUSE;
    }
    let mut version = 1;
    while let Some(next) = take_earliest(&mut steps) {
        sleep_until(began + next.0).await;
        match next.1 {
            Step::Begin(fault) => {
                if let Some(time) = injector.begin(fault) {
                    steps.push((began.elapsed() + time, Step::End(fault)));
                }
            }
            Step::End(fault) => injector.end(fault),
            // A change fails while the platform is down; the version then stays.
            Step::Settings => {
                if let Ok(revision) = apply(&injector.site, options, version).await {
                    version = revision;
                    let spread = injector.site.wait_revision(revision, SETTINGS_PATIENCE).await;
                    let spread = spread.unwrap_or(SETTINGS_PATIENCE).as_secs_f64() * 1e3;
                    report.settings_spread_ms = report.settings_spread_ms.max(spread);
                }
            }
        }
    }
    Ok(())
}

fn take_earliest(steps: &mut Vec<(Duration, Step)>) -> Option<(Duration, Step)> {
    let at = (0..steps.len()).min_by_key(|at| steps[*at].0)?;
    Some(steps.swap_remove(at))
}

/// Sends requests at random moments, not waiting for answers.
async fn drive(options: LoadOptions, balancer: Balancer, tally: Arc<Tally>) {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let callers: Vec<Caller> =
        (0..options.accounts).map(|at| Caller::new(&account_key(at))).collect();
    let weight = options.accounts as f64 - 1.0 + options.hot;
    let rate = options.rate * weight / options.accounts as f64;
    let began = Instant::now();
    let mut at = 0.0;
    let mut tasks = JoinSet::new();
    for serial in 0.. {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= options.seconds {
            break;
        }
        let draw = rng.random::<f64>() * weight;
        let account = if draw < options.hot { 0 } else { (draw - options.hot) as usize + 1 };
        let account = account.min(options.accounts - 1);
        let work = Work::draw(serial, account, options.chats, &mut rng);
        let pick = rng.random::<u32>() as usize;
        sleep_until(began + Duration::from_secs_f64(at)).await;
        let (caller, balancer) = (callers[account].clone(), balancer.clone());
        tasks.spawn(call(caller, balancer, work, pick, Arc::clone(&tally)));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

/// One request; an order that was not answered as run is sent again with the same key.
async fn call(caller: Caller, balancer: Balancer, work: Work, pick: usize, tally: Arc<Tally>) {
    let repeats = if work.key.is_some() { REPEATS } else { 0 };
    for again in 0..=repeats {
        let reply = send(&caller, &balancer, &work, pick + again).await;
        tally.note(&work, reply.as_ref(), again > 0);
        if reply.is_some_and(|reply| reply.outcome == Some(Outcome::Ran) && reply.whole) {
            return;
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Sends a request to an entry; the balancer goes on to the next if one accepts no connection.
async fn send(caller: &Caller, balancer: &Balancer, work: &Work, pick: usize) -> Option<Reply> {
    let entries = balancer.entries();
    for at in 0..entries.len() {
        let to = entries[(pick + at) % entries.len()];
        let key = work.key.as_deref();
        let sent = caller.send(to, work.method(), &work.path, key, work.body.clone()).await;
        match sent {
            Ok(reply) => return Some(reply),
            Err(CallerError::NoAnswer(err)) if is_not_sent(&err) => {}
            Err(_) => return None,
        }
    }
    None
}

impl Meters {
    fn of(site: &Site) -> Self {
        let sidecars = site.places.iter().filter_map(|place| place.sidecar.node.as_ref());
        let mut meters = Self {
            entries: site.live_entries().map(|node| Arc::clone(node.meter())).collect(),
            sidecars: sidecars.map(|node| Arc::clone(node.meter())).collect(),
            bytes: 0,
        };
        meters.bytes = meters.sum(Event::ControlBytes);
        meters
    }

    pub(super) fn sum(&self, event: Event) -> u64 {
        self.entries.iter().chain(&self.sidecars).map(|meter| meter.get(event)).sum()
    }
}

/// Starts at all upstreams.
pub(super) fn starts(site: &Site) -> u64 {
    let engines = site.engines.iter().map(|engine| engine.handler.starts().count());
    engines.chain(site.plains.iter().map(|plain| plain.handler.starts().count())).sum()
}
