use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{Account, Head, KeyDigest, Route, Service, TeamDoc};

/// The whole settings tree at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Revision of the tree.
    pub revision: u64,
    /// Subtrees by team.
    pub teams: BTreeMap<String, Arc<TeamDoc>>,
    /// Team and account name by key digest.
    keys: HashMap<KeyDigest, (String, String)>,
}

/// The client account that a caller's key belongs to, with its team and settings.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Team that the account belongs to.
    pub team: &'a str,
    /// Name of the account.
    pub name: &'a str,
    /// The account's settings.
    pub account: &'a Account,
    /// The team's subtree.
    pub doc: &'a TeamDoc,
}

impl Snapshot {
    /// Creates a snapshot and indexes the keys of its accounts.
    ///
    /// ```
    /// # use ebonyusher::settings::Snapshot;
    /// assert_eq!(Snapshot::new(3, Default::default()).revision, 3);
    /// ```
    pub fn new(revision: u64, teams: BTreeMap<String, Arc<TeamDoc>>) -> Self {
        let mut keys = HashMap::new();
        for (team, doc) in &teams {
            for (name, account) in &doc.settings.accounts {
                for digest in &account.keys {
                    keys.insert(*digest, (team.clone(), name.clone()));
                }
            }
        }
        Self { revision, teams, keys }
    }

    /// Returns the head of this snapshot.
    pub fn head(&self) -> Head {
        let teams = self.teams.iter().map(|(name, doc)| (name.clone(), doc.version)).collect();
        Head { revision: self.revision, teams }
    }

    /// Finds the client account that a key belongs to.
    pub fn caller(&self, key: &str) -> Option<Caller<'_>> {
        let digest = KeyDigest::of(key);
        let (team, name) = self.keys.get(&digest)?;
        let doc = self.teams.get(team)?;
        let account = doc.settings.accounts.get(name)?;
        let matches = account.keys.iter().any(|known| known.matches(&digest));
        matches.then_some(Caller { team, name, account, doc })
    }

    /// Finds a service by its full name, `team/service`.
    pub fn service(&self, full_name: &str) -> Option<&Service> {
        let (team, name) = full_name.split_once('/')?;
        self.teams.get(team)?.settings.services.get(name)
    }
}

impl Caller<'_> {
    /// Finds the route of a request among those of the caller's team.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Option<&Route> {
        let routes = self.doc.settings.routes.iter();
        let matching = routes.filter(|route| route.matches(host, path, method));
        matching.max_by_key(|route| (route.path.len(), route.host.is_some()))
    }
}
