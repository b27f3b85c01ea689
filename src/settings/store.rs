use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{
    HEAD_KEY, Head, RevisionRecord, Snapshot, StoreError, Team, TeamDoc, check_team, diff,
};
use crate::platform::{Row, Table, TableError, Txn};

/// How long a commit is retried after a lost response.
const COMMIT_RETRY_TIME: Duration = Duration::from_secs(5);
/// Delay before a commit of unknown outcome is sent again. After a conflict, the delay is a tenth
/// of it.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that a change is tried before it is given up. A try conflicts if another
/// team's change is committed at the same time.
const MAX_CONFLICTS: usize = 32;

/// Client of the shared settings tree in the platform's table.
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

/// How one attempt at a commit ended.
enum CommitOutcome {
    Applied(Applied),
    /// Another writer changed a row that the commit checks.
    Conflict,
}

impl<P: Table> SettingsStore<P> {
    /// Creates a client of the tree.
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

    /// Reads a team's subtree; an unknown team has an empty subtree at version 0.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn team(&self, team: &str) -> Result<TeamDoc, StoreError> {
        let row = self.platform.get(&team_key(team)).await?;
        Ok(row.map(|row| row.read()).transpose()?.unwrap_or_default())
    }

    /// Reads the current tree if it is newer than a snapshot. Returns `None` if it isn't, or if a
    /// subtree changed during the read. Only subtrees with another version are read.
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
        // A subtree that is read after the head may be newer than the head. In that case the next
        // poll reads a consistent tree.
        let consistent = teams.iter().all(|(team, doc)| head.teams[team] == doc.version);
        Ok(consistent.then(|| Snapshot::new(head.revision, teams)))
    }

    /// Lists the accepted changes of a team's subtree, oldest first.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::Malformed`].
    pub async fn revisions(&self, team: &str) -> Result<Vec<RevisionRecord>, StoreError> {
        let rows = self.platform.scan(&format!("settings/log/{team}/")).await?;
        rows.iter().map(|row| row.read().map_err(StoreError::from)).collect()
    }

    /// Replaces a team's subtree if it still has the version that the operator read. The revision
    /// and version in the record are ignored: the stored record has those that the change creates.
    ///
    /// # Errors
    /// After [`StoreError::Check`], [`StoreError::Stale`] and [`StoreError::Unavailable`] nothing has
    /// changed; after [`StoreError::Unknown`] the change may have been applied.
    pub async fn replace(
        &self,
        record: &RevisionRecord,
        settings: &Team,
        read_version: u64,
    ) -> Result<Applied, StoreError> {
        check_team(settings)?;
        for _ in 0..MAX_CONFLICTS {
            match self.try_replace(record, settings, read_version).await? {
                CommitOutcome::Applied(applied) => return Ok(applied),
                CommitOutcome::Conflict => sleep(RETRY_DELAY / 10).await,
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn try_replace(
        &self,
        record: &RevisionRecord,
        settings: &Team,
        read_version: u64,
    ) -> Result<CommitOutcome, StoreError> {
        let (head_version, mut head) = self.head_row().await?;
        let team_row = self.platform.get(&team_key(&record.team)).await?;
        let current = team_row.as_ref().map(Row::read::<TeamDoc>).transpose()?.unwrap_or_default();
        if current.version != read_version {
            return Err(stale(&current, settings));
        }
        let applied = Applied { revision: head.revision + 1, version: read_version + 1 };
        head.revision = applied.revision;
        head.teams.insert(record.team.clone(), applied.version);
        let record = RevisionRecord {
            revision: applied.revision,
            version: applied.version,
            ..record.clone()
        };
        let doc = TeamDoc { version: applied.version, settings: settings.clone() };
        let txn = Txn::new()
            .check(HEAD_KEY, head_version)
            .check(&team_key(&record.team), team_row.map(|row| row.version))
            .put(HEAD_KEY, &head)
            .put(&team_key(&record.team), &doc)
            .put(&record_key(&record), &record);
        self.commit(&txn, &record, applied).await
    }

    /// Commits until the table returns a definite result. The checks make it safe to send the
    /// transaction again.
    async fn commit(
        &self,
        txn: &Txn,
        record: &RevisionRecord,
        applied: Applied,
    ) -> Result<CommitOutcome, StoreError> {
        let end = Instant::now() + COMMIT_RETRY_TIME;
        // Set once an attempt may have been applied although its response was lost.
        let mut in_doubt = false;
        loop {
            match self.platform.commit(txn).await {
                Ok(_) => return Ok(CommitOutcome::Applied(applied)),
                Err(TableError::Conflict) if self.is_committed(record).await? => {
                    return Ok(CommitOutcome::Applied(applied));
                }
                Err(TableError::Conflict) => return Ok(CommitOutcome::Conflict),
                Err(TableError::Malformed(text)) => return Err(StoreError::Malformed(text)),
                Err(TableError::Unavailable(_)) if !in_doubt => {
                    return Err(StoreError::Unavailable);
                }
                Err(TableError::Unavailable(_) | TableError::Unknown(_)) => in_doubt = true,
            }
            if Instant::now() >= end {
                return Err(StoreError::Unknown { change: record.change.clone() });
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether the table holds this record, which means that an earlier attempt was
    /// applied.
    async fn is_committed(&self, record: &RevisionRecord) -> Result<bool, StoreError> {
        let row = self
            .platform
            .get(&record_key(record))
            .await
            .map_err(|_| StoreError::Unknown { change: record.change.clone() })?;
        let found = row.map(|row| row.read::<RevisionRecord>()).transpose()?;
        Ok(found.is_some_and(|found| found.change == record.change))
    }

    async fn head_row(&self) -> Result<(Option<u64>, Head), StoreError> {
        let row = self.platform.get(HEAD_KEY).await?;
        let head = row.as_ref().map(Row::read).transpose()?.unwrap_or_default();
        Ok((row.map(|row| row.version), head))
    }
}

fn stale(current: &TeamDoc, settings: &Team) -> StoreError {
    let value = |team: &Team| serde_json::to_value(team).unwrap_or_default();
    let changes = diff(&value(&current.settings), &value(settings));
    StoreError::Stale { version: current.version, changes }
}

fn team_key(team: &str) -> String {
    format!("settings/team/{team}")
}

fn record_key(record: &RevisionRecord) -> String {
    format!("settings/log/{}/{:010}", record.team, record.version)
}
