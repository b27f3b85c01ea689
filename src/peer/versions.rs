use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::{Snapshot, TeamDoc};

/// Versions of the settings that a process has, sent to a peer to ask for newer ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the settings tree.
    pub revision: u64,
    /// Version of each team's subtree.
    pub teams: BTreeMap<String, u64>,
}

/// The difference between a newer settings tree and what the requesting process has.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the newer tree.
    pub revision: u64,
    /// Version of each team's subtree in it.
    pub teams: BTreeMap<String, u64>,
    /// The subtrees that the requesting process lacks.
    pub docs: BTreeMap<String, Arc<TeamDoc>>,
}

impl Versions {
    /// Returns the versions in a snapshot.
    pub fn of(snapshot: &Snapshot) -> Self {
        let head = snapshot.head();
        Self { revision: head.revision, teams: head.teams }
    }
}

impl Delta {
    /// Returns what a process with the versions `have` lacks of a snapshot, `None` if its revision
    /// is not older.
    ///
    /// ```
    /// # use ebonyusher::peer::{Delta, Versions};
    /// # use ebonyusher::settings::Snapshot;
    /// let snapshot = Snapshot::new(4, Default::default());
    /// let delta = Delta::between(&snapshot, &Versions::default()).unwrap();
    /// assert_eq!(delta.apply(&Snapshot::default()).unwrap().revision, 4);
    /// ```
    pub fn between(snapshot: &Snapshot, have: &Versions) -> Option<Self> {
        if snapshot.revision <= have.revision {
            return None;
        }
        let head = snapshot.head();
        let lacking = snapshot
            .teams
            .iter()
            .filter(|(team, doc)| have.teams.get(*team) != Some(&doc.version))
            .map(|(team, doc)| (team.clone(), Arc::clone(doc)));
        Some(Self { revision: snapshot.revision, docs: lacking.collect(), teams: head.teams })
    }

    /// Applies the difference to a base snapshot, `None` if a subtree is missing or has the wrong
    /// version.
    pub fn apply(self, base: &Snapshot) -> Option<Snapshot> {
        let mut teams = BTreeMap::new();
        for (team, version) in self.teams {
            let doc = self.docs.get(&team).or_else(|| base.teams.get(&team))?;
            if doc.version != version {
                return None;
            }
            teams.insert(team, Arc::clone(doc));
        }
        Some(Snapshot::new(self.revision, teams))
    }
}
