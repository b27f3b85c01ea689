use std::convert::Infallible;
use std::future::pending;
use std::time::Duration;

use tokio::time::sleep;

use super::RankConnector;
use super::event::Event;
use super::leadership::Leadership;
use super::member_rows::MemberRows;
use crate::direct::Directory;
use crate::event_log::Level;
use crate::membership::GroupRow;
use crate::platform::{Table, TableError};

/// Waits before the checks for other groups after assembling. Upstreams of other groups may be
/// listed later than those of this one.
const CHECK_WAITS: [Duration; 3] = [Duration::ZERO, Duration::from_secs(2), Duration::from_secs(8)];
/// Interval between attempts to write the row of members.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl<D: Table + Directory, R: RankConnector> Leadership<'_, D, R> {
    /// Publishes the members of the group if the service has other groups, and removes the rows of
    /// groups that are no longer listed. Retries failed writes. Never returns.
    pub(super) async fn publish_members(&self, row: &GroupRow) -> Infallible {
        let mut rows = MemberRows::new(&*self.directory, row);
        for wait in CHECK_WAITS {
            sleep(wait).await;
            if !wait.is_zero() && !self.memory.has_others() && self.finds_others(row).await {
                self.memory.record_others();
            }
            while self.memory.has_others() {
                match self.update_rows(&mut rows, row).await {
                    Ok(()) => break,
                    Err(err) => {
                        let event = Event::PlatformDown { detail: err.to_string() };
                        self.log.write(Level::Warn, &event);
                        sleep(RETRY_INTERVAL).await;
                    }
                }
            }
        }
        pending().await
    }

    async fn update_rows(
        &self,
        rows: &mut MemberRows<'_, D>,
        row: &GroupRow,
    ) -> Result<(), TableError> {
        let stored = rows.read().await?;
        let written = rows.publish(&stored).await?;
        let listed = self.listed().await.unwrap_or_default();
        let listed: Vec<String> = listed.into_iter().map(|(id, _)| id).collect();
        // A list without the own members is incomplete.
        let is_whole = row.members.iter().all(|id| listed.contains(id));
        let removed = if is_whole { rows.remove_unlisted(stored, &listed).await? } else { 0 };
        if written || removed > 0 {
            let (group, epoch, members) = (row.group.as_str(), row.epoch, row.members.len());
            let event = Event::MembersPublished { group, epoch, members, written, removed };
            self.log.write(Level::Info, &event);
        }
        Ok(())
    }

    /// Whether a listed upstream that is not a member of the group reports another group.
    async fn finds_others(&self, row: &GroupRow) -> bool {
        let mut listed = self.listed().await.unwrap_or_default();
        listed.retain(|(id, _)| !row.members.contains(id));
        let found = self.read_states(&listed, listed.len()).await;
        found.iter().filter_map(|rank| rank.state.as_ref()).any(|state| state.group != row.group)
    }
}
