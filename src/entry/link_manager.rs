use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::entry_count::EntryCount;
use super::link::Link;
use super::suspects_sync::SuspectsSync;
use super::{Member, Members, Suspects, pick_subset};
use crate::metrics::Meter;
use crate::peer::{CrashReport, Hello};
use crate::platform::{Instance, InstanceList, Phase, Table};
use crate::settings::CurrentSettings;

/// Service name under which the platform lists entries.
const ENTRY_SERVICE: &str = "entry";

/// Typical size of one instance in the platform's list, in bytes.
const INSTANCE_BYTES: f64 = 170.0;
/// Average bandwidth that an entry spends on reading a list that changes constantly, in bytes per
/// second.
const LIST_BYTES_PER_S: f64 = 1_200.0;
/// Number of entries that should have a link to each upstream.
const LINKS_PER_UPSTREAM: usize = 8;

/// Follows the platform's instance list and keeps a link to the sidecar of each selected upstream.
#[derive(Debug)]
pub(super) struct LinkManager<P> {
    pub(super) platform: Arc<P>,
    pub(super) members: Arc<Members>,
    pub(super) entry_count: Arc<EntryCount>,
    pub(super) suspects: Arc<Suspects>,
    pub(super) crash_sender: mpsc::Sender<CrashReport>,
    pub(super) current: CurrentSettings,
    pub(super) meter: Arc<Meter>,
    pub(super) hello: Hello,
    /// Failure domains in order of distance, the entry's own first.
    pub(super) domains: Vec<String>,
    /// Configured number of upstreams to select for each service. More are selected if there are
    /// few entries.
    pub(super) subset: usize,
    /// Mean interval between reads of the platform.
    pub(super) poll: Duration,
    /// Cancelled when the entry shuts down.
    pub(super) background_stop: CancellationToken,
    /// The links by instance name, open or not, each with the token that stops its task.
    pub(super) links: HashMap<String, (Arc<Member>, CancellationToken)>,
}

impl<P: Table + InstanceList> LinkManager<P> {
    /// Polls the platform until the task is stopped.
    pub(super) async fn run(mut self) {
        let sync = SuspectsSync {
            platform: Arc::clone(&self.platform),
            suspects: Arc::clone(&self.suspects),
            meter: Arc::clone(&self.meter),
        };
        let mut known = Vec::new();
        let mut next_read = Instant::now();
        loop {
            if Instant::now() >= next_read {
                next_read = self.read_list(&mut known).await;
            }
            sync.pull().await;
            sleep(self.poll.mul_f64(rand::random_range(0.8..1.2))).await;
        }
    }

    /// Reads the list and returns the earliest time of the next read. After a change, the wait
    /// grows with the length of the list, so that constant changes in a large fleet don't saturate
    /// the network.
    async fn read_list(&mut self, known: &mut Vec<Instance>) -> Instant {
        let now = Instant::now();
        let list = match self.platform.list().await {
            Ok(list) => list,
            Err(err) => {
                warn!("instances: the platform's list can't be read: {err}");
                return now;
            }
        };
        self.apply_list(&list);
        if list == *known {
            return now;
        }
        let seconds = list.len() as f64 * INSTANCE_BYTES / LIST_BYTES_PER_S;
        *known = list;
        now + Duration::from_secs_f64(seconds)
    }

    /// Applies a list to the entry count, the links and the members. While the platform is down
    /// there is no new list, so no upstream is removed: links alone decide which upstreams are
    /// alive.
    fn apply_list(&mut self, list: &[Instance]) {
        let live = |inst: &&Instance| inst.phase == Phase::Live;
        self.entry_count
            .set(list.iter().filter(|inst| inst.service == ENTRY_SERVICE).filter(live).count());
        let mut by_service: HashMap<&str, Vec<&Instance>> = HashMap::new();
        for inst in list.iter().filter(|inst| inst.service != ENTRY_SERVICE) {
            by_service.entry(&inst.service).or_default().push(inst);
        }
        let wanted: Vec<&Instance> = by_service
            .values()
            .flat_map(|instances| {
                let distance = |domain: &str| self.distance(domain);
                pick_subset(self.hello.from, instances, distance, self.max_links(instances.len()))
            })
            .collect();
        self.drop_unwanted(&wanted);
        for inst in wanted {
            self.ensure_link(inst);
        }
        self.members.replace(self.links.values().map(|(member, _)| Arc::clone(member)).collect());
    }

    /// Returns the number of links to keep for a service with this many upstreams. With few entries
    /// it exceeds the configured subset, so that every upstream is linked to several entries.
    fn max_links(&self, upstreams: usize) -> usize {
        self.subset.max(LINKS_PER_UPSTREAM * upstreams / self.entry_count.get())
    }

    /// Returns the position of a failure domain in the order of distance; unknown ones come last.
    fn distance(&self, domain: &str) -> usize {
        let known = self.domains.iter().position(|near| near == domain);
        known.unwrap_or(self.domains.len())
    }

    /// Stops each link to an instance whose address has changed, and each link that is not open and
    /// whose instance is no longer selected. The list lags behind reality, so an instance that is
    /// no longer on it is kept while its link is open.
    fn drop_unwanted(&mut self, wanted: &[&Instance]) {
        let is_wanted = |member: &Member| {
            wanted
                .iter()
                .any(|inst| inst.name == member.instance.name && inst.peer == member.instance.peer)
        };
        self.links.retain(|name, (member, stop)| {
            let retained = is_wanted(member) || member.is_linked() && !is_name_wanted(wanted, name);
            if !retained {
                info!("instances: {name} was removed");
                stop.cancel();
            }
            retained
        });
    }

    /// Opens a link to an instance unless there is one, and marks an instance that is listed as
    /// leaving.
    fn ensure_link(&mut self, inst: &Instance) {
        if !self.links.contains_key(&inst.name) {
            let member = Arc::new(Member::new(inst.clone(), self.distance(&inst.domain)));
            let stop = self.background_stop.child_token();
            let link = Link {
                member: Arc::clone(&member),
                hello: self.hello.clone(),
                suspects: Arc::clone(&self.suspects),
                crash_sender: self.crash_sender.clone(),
                current: self.current.clone(),
                meter: Arc::clone(&self.meter),
            };
            tokio::spawn(stop.clone().run_until_cancelled_owned(link.run()));
            self.links.insert(inst.name.clone(), (member, stop));
        }
        if inst.phase == Phase::Leaving
            && let Some((member, _)) = self.links.get(&inst.name)
        {
            member.mark_listed_leaving();
        }
    }
}

fn is_name_wanted(wanted: &[&Instance], name: &str) -> bool {
    wanted.iter().any(|inst| inst.name == name)
}
