use crate::membership::{GroupName, GroupRow};
use crate::platform::{Row, Table, TableError, Txn};

/// Access of a group's leader to the rows that list the members of a service's groups.
#[derive(Debug)]
pub struct MemberRows<'a, T> {
    table: &'a T,
    /// Row of the leader's group.
    own: &'a GroupRow,
    /// Rows of other groups without a listed member at the last check.
    unlisted: Vec<Row>,
}

impl<'a, T: Table> MemberRows<'a, T> {
    /// Access for the leader whose group has the members that `own` lists.
    pub const fn new(table: &'a T, own: &'a GroupRow) -> Self {
        Self { table, own, unlisted: Vec::new() }
    }

    /// Reads the rows of all groups of the service.
    ///
    /// # Errors
    /// As [`Table`] says.
    pub async fn read(&self) -> Result<Vec<Row>, TableError> {
        self.table.scan(&GroupRow::key(&self.own.service, &GroupName::default())).await
    }

    /// Writes the row of the leader's group, unless it is stored already or a later leader has
    /// written it. Returns whether it was written.
    ///
    /// # Errors
    /// As [`Table`] says.
    pub async fn publish(&self, rows: &[Row]) -> Result<bool, TableError> {
        let key = GroupRow::key(&self.own.service, &self.own.group);
        let stored = rows.iter().find(|row| row.key == key);
        let present = stored.and_then(|row| row.read::<GroupRow>().ok());
        let is_current = present.is_some_and(|present| {
            let same = present.epoch == self.own.epoch && present.members == self.own.members;
            same || present.term > self.own.term
        });
        if is_current {
            return Ok(false);
        }
        let txn = Txn::new().check(&key, stored.map(|row| row.version)).put(&key, self.own);
        self.table.commit(&txn).await.map(|_| true)
    }

    /// Removes the rows of other groups that had no listed member at this check and the one before.
    /// `rows` must have been read before the list of upstreams, since members are listed before
    /// their row is written. Returns the number of removed rows.
    ///
    /// # Errors
    /// As [`Table`] says.
    pub async fn remove_unlisted(
        &mut self,
        rows: Vec<Row>,
        listed: &[String],
    ) -> Result<usize, TableError> {
        let own_key = GroupRow::key(&self.own.service, &self.own.group);
        let is_unlisted = |row: &Row| {
            let members = row.read::<GroupRow>().map(|row| row.members);
            row.key != own_key
                && members.is_ok_and(|members| !members.iter().any(|id| listed.contains(id)))
        };
        let now: Vec<Row> = rows.into_iter().filter(is_unlisted).collect();
        let (gone, unlisted) = now.into_iter().partition(|row| self.unlisted.contains(row));
        let gone: Vec<Row> = gone;
        self.unlisted = unlisted;
        for row in &gone {
            let txn = Txn::new().check(&row.key, Some(row.version)).delete(&row.key);
            match self.table.commit(&txn).await {
                // Another leader has removed or written the row.
                Ok(_) | Err(TableError::Conflict) => {}
                Err(err) => {
                    self.unlisted.extend(gone);
                    return Err(err);
                }
            }
        }
        Ok(gone.len())
    }
}
