use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{
    HEAD_KEY, Head, RevisionRecord, Snapshot, StoreError, Team, TeamDoc, check_team, diff,
};
use crate::platform::{Row, Table, TableError, Txn};

/// How long a commit with a lost answer is tried again.
const COMMIT_PATIENCE: Duration = Duration::from_secs(5);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How many teams may change at the same moment before one gives up.
const MAX_RACES: usize = 32;

/// The shared tree in the platform's table.
#[derive(Clone, Debug)]
pub struct SettingsStore<P> {
    platform: Arc<P>,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Applied {
    /// New revision of the tree.
    pub revision: u64,
    /// New version of the team's subtree.
    pub version: u64,
}

/// How one try at a commit ended.
enum Try {
    Done(Applied),
    Raced,
}

impl<P: Table> SettingsStore<P> {
    /// Makes a client of the tree.
    pub const fn new(platform: Arc<P>) -> Self {
        Self { platform }
    }

    /// Reads the head.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn head(&self) -> Result<Head, StoreError> {
        Ok(self.head_row().await?.1)
    }

    /// Reads a team's subtree; an unknown team has an empty one at version 0.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn team(&self, team: &str) -> Result<TeamDoc, StoreError> {
        let row = self.platform.get(&team_key(team)).await?;
        Ok(row.map(|row| row.read()).transpose()?.unwrap_or_default())
    }

    /// Reads what has changed since a snapshot; nothing if it is the newest.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn newer(&self, than: &Snapshot) -> Result<Option<Snapshot>, StoreError> {
        let head = self.head().await?;
        if head.revision <= than.revision {
            return Ok(None);
        }
        let mut teams = BTreeMap::new();
        for (team, version) in &head.teams {
            let known = than.teams.get(team).filter(|doc| doc.version == *version);
            let doc = match known {
                Some(doc) => Arc::clone(doc),
                None => Arc::new(self.team(team).await?),
            };
            teams.insert(team.clone(), doc);
        }
        // A subtree read after the head may be newer than it: then the next poll finds the rest.
        let whole = teams.iter().all(|(team, doc)| head.teams[team] == doc.version);
        Ok(whole.then(|| Snapshot::new(head.revision, teams)))
    }

    /// The accepted changes, oldest first.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn revisions(&self, team: &str) -> Result<Vec<RevisionRecord>, StoreError> {
        let rows = self.platform.scan(&format!("settings/log/{team}/")).await?;
        rows.iter().map(|row| row.read().map_err(StoreError::from)).collect()
    }

    /// Replaces a team's subtree if it still has the version that the operator read.
    ///
    /// # Errors
    /// [`StoreError::Check`] and [`StoreError::Stale`] change nothing, nor does
    /// [`StoreError::Unavailable`]; after [`StoreError::Unknown`] the change may be in force.
    pub async fn replace(
        &self,
        line: &RevisionRecord,
        settings: &Team,
        read_version: u64,
    ) -> Result<Applied, StoreError> {
        check_team(settings)?;
        for _ in 0..MAX_RACES {
            match self.try_replace(line, settings, read_version).await? {
                Try::Done(applied) => return Ok(applied),
                Try::Raced => sleep(RETRY_PAUSE / 10).await,
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn try_replace(
        &self,
        line: &RevisionRecord,
        settings: &Team,
        read_version: u64,
    ) -> Result<Try, StoreError> {
        let (head_version, mut head) = self.head_row().await?;
        let team_row = self.platform.get(&team_key(&line.team)).await?;
        let present = team_row.as_ref().map(Row::read::<TeamDoc>).transpose()?.unwrap_or_default();
        if present.version != read_version {
            return Err(stale(&present, settings));
        }
        let applied = Applied { revision: head.revision + 1, version: read_version + 1 };
        head.revision = applied.revision;
        head.teams.insert(line.team.clone(), applied.version);
        let line =
            RevisionRecord { revision: applied.revision, version: applied.version, ..line.clone() };
        let doc = TeamDoc { version: applied.version, settings: settings.clone() };
        let txn = Txn::new()
            .check(HEAD_KEY, head_version)
            .check(&team_key(&line.team), team_row.map(|row| row.version))
            .put(HEAD_KEY, &head)
            .put(&team_key(&line.team), &doc)
            .put(&log_key(&line), &line);
        self.commit(&txn, &line, applied).await
    }

    /// Commits until the table gives a definite answer: the checks make it safe to send again.
    async fn commit(
        &self,
        txn: &Txn,
        line: &RevisionRecord,
        applied: Applied,
    ) -> Result<Try, StoreError> {
        let end = Instant::now() + COMMIT_PATIENCE;
        let mut unsure = false;
        loop {
            match self.platform.commit(txn).await {
                Ok(_) => return Ok(Try::Done(applied)),
                Err(TableError::Conflict) if self.is_own(line).await? => {
                    return Ok(Try::Done(applied));
                }
                Err(TableError::Conflict) => return Ok(Try::Raced),
                Err(TableError::Malformed(text)) => return Err(StoreError::Malformed(text)),
                Err(TableError::Unavailable(_)) if !unsure => return Err(StoreError::Unavailable),
                Err(TableError::Unavailable(_) | TableError::Unknown(_)) => unsure = true,
            }
            if Instant::now() >= end {
                return Err(StoreError::Unknown { change: line.change.clone() });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn is_own(&self, line: &RevisionRecord) -> Result<bool, StoreError> {
        let row = self
            .platform
            .get(&log_key(line))
            .await
            .map_err(|_| StoreError::Unknown { change: line.change.clone() })?;
        let found = row.map(|row| row.read::<RevisionRecord>()).transpose()?;
        Ok(found.is_some_and(|found| found.change == line.change))
    }

    async fn head_row(&self) -> Result<(Option<u64>, Head), StoreError> {
        let row = self.platform.get(HEAD_KEY).await?;
        let head = row.as_ref().map(Row::read).transpose()?.unwrap_or_default();
        Ok((row.map(|row| row.version), head))
    }
}

fn stale(present: &TeamDoc, settings: &Team) -> StoreError {
    let value = |team: &Team| serde_json::to_value(team).unwrap_or_default();
    let changes = diff(&value(&present.settings), &value(settings));
    StoreError::Stale { version: present.version, changes }
}

fn team_key(team: &str) -> String {
    format!("settings/team/{team}")
}

fn log_key(line: &RevisionRecord) -> String {
    format!("settings/log/{}/{:010}", line.team, line.version)
}
