use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::{Snapshot, TeamDoc};

/// What a process has, when it asks a peer for newer settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the tree.
    pub revision: u64,
    /// Version of each team's subtree.
    pub teams: BTreeMap<String, u64>,
}

/// The subtrees in which a newer tree differs from what the asker has.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the newer tree.
    pub revision: u64,
    /// Version of each team's subtree in it.
    pub teams: BTreeMap<String, u64>,
    /// The subtrees that the asker lacks.
    pub docs: BTreeMap<String, Arc<TeamDoc>>,
}

impl Versions {
    /// What a snapshot has.
    pub fn of(snapshot: &Snapshot) -> Self {
        let head = snapshot.head();
        Self { revision: head.revision, teams: head.teams }
    }
}

impl Delta {
    /// What an asker lacks of a snapshot; nothing if the asker's revision is as great.
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

    /// Puts the newer snapshot together; nothing if a subtree is missing.
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
