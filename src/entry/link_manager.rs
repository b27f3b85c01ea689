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

/// Usual size of an instance in the list.
const INSTANCE_BYTES: f64 = 170.0;
/// Bytes a second that an entry spends on a list that changes again and again.
const LIST_BYTES_PER_S: f64 = 1_200.0;
/// Entries that should be linked to each upstream.
const LINKS_PER_UPSTREAM: usize = 8;

/// Follows the platform's list and keeps one link for each picked sidecar.
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
    /// Failure domains by distance, the entry's own first.
    pub(super) domains: Vec<String>,
    pub(super) subset: usize,
    pub(super) poll: Duration,
    pub(super) task_stop: CancellationToken,
    pub(super) links: HashMap<String, (Arc<Member>, CancellationToken)>,
}

impl<P: Table + InstanceList> LinkManager<P> {
    /// Follows until the process ends.
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

    /// Reads the list, and tells when to read it again: a long list that has changed is not read
    /// again at once, so that a large fleet's comings and goings don't fill the links.
    async fn read_list(&mut self, known: &mut Vec<Instance>) -> Instant {
        let now = Instant::now();
        let list = match self.platform.list().await {
            Ok(list) => list,
            Err(err) => {
                warn!("roster: {err}");
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

    /// A platform that is down takes nobody off the list: links decide who is alive.
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

    /// Links to keep for a service of so many upstreams: where entries are few, enough that every
    /// upstream has several.
    fn max_links(&self, upstreams: usize) -> usize {
        self.subset.max(LINKS_PER_UPSTREAM * upstreams / self.entry_count.get())
    }

    fn distance(&self, domain: &str) -> usize {
        let known = self.domains.iter().position(|near| near == domain);
        known.unwrap_or(self.domains.len())
    }

    /// The list lags: an instance that is no longer on it is kept for as long as its link is.
    fn drop_unwanted(&mut self, wanted: &[&Instance]) {
        let is_wanted = |member: &Member| {
            wanted
                .iter()
                .any(|inst| inst.name == member.instance.name && inst.peer == member.instance.peer)
        };
        self.links.retain(|name, (member, stop)| {
            let retained = is_wanted(member) || member.is_linked() && !is_name_wanted(wanted, name);
            if !retained {
                info!("roster: {name} is gone");
                stop.cancel();
            }
            retained
        });
    }

    fn ensure_link(&mut self, inst: &Instance) {
        if !self.links.contains_key(&inst.name) {
            let member = Arc::new(Member::new(inst.clone(), self.distance(&inst.domain)));
            let stop = self.task_stop.child_token();
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
