use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{GroupChange, Membership, Memberships};
use crate::direct::RowChange;
use crate::membership::GroupRow;
use crate::platform::Row;

/// Maximum number of groups on record, of all services.
const MAX_GROUPS: usize = 256;
/// Maximum number of members on record, of all groups.
const MAX_MEMBERS: usize = 4_096;
/// Maximum length of a key or of the id of a member, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Groups that the leaders of ranks have published, and the upstreams in them.
#[derive(Debug, Default)]
pub struct GroupDirectory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, KnownRow>,
    /// Derived from the rows; `None` before the first one.
    memberships: Option<Arc<Memberships>>,
}

/// A row of a group as it was last read.
#[derive(Debug)]
struct KnownRow {
    row: GroupRow,
    /// Version of the row in the platform's table.
    version: u64,
    /// When these contents were first read.
    read_at: Instant,
}

impl GroupDirectory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the groups of the upstreams, or `None` if there never was a group.
    pub fn memberships(&self) -> Option<Arc<Memberships>> {
        self.lock().memberships.clone()
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.lock().rows.len()
    }

    /// Returns whether no groups are known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether some service has several groups.
    ///
    /// ```
    /// # use ebonyusher::direct::{GroupDirectory, RowChange};
    /// # use ebonyusher::membership::{GroupName, GroupRow};
    /// # use ebonyusher::platform::Row;
    /// # use tokio::time::Instant;
    /// let directory = GroupDirectory::default();
    /// let learn = |service: &str, group: &str| {
    ///     let (key, members) = (format!("group/{service}/{group}"), vec![]);
    ///     let (service, group) = (service.to_owned(), GroupName::from(group));
    ///     let row = GroupRow { service, group, epoch: 1, term: 1, members };
    ///     let value = serde_json::to_value(&row).expect("JSON");
    ///     directory.apply(&RowChange::Written(Row { key, version: 1, value }), Instant::now());
    /// };
    /// learn("chat", "g-1");
    /// learn("code", "g-1");
    /// assert!(!directory.has_several());
    /// learn("chat", "g-2");
    /// assert!(directory.has_several());
    /// directory.retain(&[]);
    /// assert!(!directory.has_several());
    /// ```
    pub fn has_several(&self) -> bool {
        let state = self.lock();
        let mut services = HashSet::new();
        state.rows.values().any(|known| !services.insert(known.row.service.as_str()))
    }

    /// Applies a change of the platform's table. Returns the change of a group, if there is one.
    ///
    /// ```
    /// # use ebonyusher::direct::{GroupDirectory, RowChange};
    /// # use ebonyusher::membership::{GroupName, GroupRow};
    /// # use ebonyusher::platform::Row;
    /// # use tokio::time::Instant;
    /// let group = GroupName::from("g-1");
    /// let members = vec!["u-1".to_owned()];
    /// let row = GroupRow { service: "chat".to_owned(), group, epoch: 1, term: 1, members };
    /// let value = serde_json::to_value(&row).expect("JSON");
    /// let row = Row { key: "group/chat/g-1".to_owned(), version: 1, value };
    /// let directory = GroupDirectory::default();
    /// directory.apply(&RowChange::Written(row), Instant::now());
    /// let memberships = directory.memberships().expect("a group");
    /// assert_eq!(memberships.get("chat", "u-1").expect("a member").group.as_str(), "g-1");
    /// assert_eq!(memberships.get("chat", "u-2"), None);
    /// ```
    pub fn apply(&self, change: &RowChange, now: Instant) -> Option<GroupChange> {
        if !GroupRow::is_key(change.key()) {
            return None;
        }
        let mut state = self.lock();
        let change = match change {
            RowChange::Written(row) => state.write(row, now),
            RowChange::Removed(key) => state.remove(key),
            RowChange::Unusable(key, _) => Some(unusable(key, "not readable")),
        };
        state.derive();
        change
    }

    /// Forgets the groups whose rows are not among these, which are all rows of the table. Returns
    /// these changes.
    pub fn retain(&self, rows: &[RowChange]) -> SmallVec<[GroupChange; 2]> {
        let keys: HashSet<&str> = rows.iter().map(RowChange::key).collect();
        let mut state = self.lock();
        let gone = state.rows.keys().filter(|key| !keys.contains(key.as_str())).cloned();
        let gone: SmallVec<[String; 2]> = gone.collect();
        let changes = gone.iter().filter_map(|key| state.remove(key)).collect();
        state.derive();
        changes
    }
}

impl State {
    fn write(&mut self, row: &Row, now: Instant) -> Option<GroupChange> {
        let Ok(group) = row.read::<GroupRow>() else {
            return Some(unusable(&row.key, "not readable"));
        };
        if GroupRow::key(&group.service, &group.group) != row.key {
            return Some(unusable(&row.key, "key of another group"));
        }
        if !self.has_room(&row.key, &group) {
            return Some(unusable(&row.key, "too large, or too many groups"));
        }
        let known = self.rows.get_mut(&row.key);
        if let Some(known) = known
            && known.row == group
        {
            // Read again, for example after the store's history was dropped.
            known.version = row.version;
            return None;
        }
        let known = KnownRow { row: group.clone(), version: row.version, read_at: now };
        Some(match self.rows.insert(row.key.clone(), known) {
            Some(_) => GroupChange::Changed(group),
            None => GroupChange::Learned(group),
        })
    }

    fn remove(&mut self, key: &str) -> Option<GroupChange> {
        self.rows.remove(key).map(|known| GroupChange::Gone(known.row))
    }

    fn has_room(&self, key: &str, group: &GroupRow) -> bool {
        let others = || self.rows.iter().filter(|(other, _)| *other != key);
        let members: usize = others().map(|(_, known)| known.row.members.len()).sum();
        let names_fit = group.members.iter().all(|member| member.len() <= MAX_NAME_BYTES);
        names_fit
            && key.len() <= MAX_NAME_BYTES
            && others().count() < MAX_GROUPS
            && members + group.members.len() <= MAX_MEMBERS
    }

    /// Derives the memberships. If several rows list an upstream, the one written last holds.
    fn derive(&mut self) {
        let mut rows: Vec<&KnownRow> = self.rows.values().collect();
        rows.sort_by(|left, right| {
            left.version.cmp(&right.version).then(left.row.group.cmp(&right.row.group))
        });
        let memberships = rows.iter().flat_map(|known| {
            let KnownRow { row, read_at, .. } = known;
            let membership = Membership {
                service: row.service.clone(),
                group: row.group.clone(),
                read_at: *read_at,
            };
            row.members.iter().map(move |member| (member.clone(), membership.clone()))
        });
        let memberships = Memberships(memberships.collect());
        let known = self.memberships.as_deref();
        if known.map_or(!rows.is_empty(), |known| *known != memberships) {
            self.memberships = Some(Arc::new(memberships));
        }
    }
}

fn unusable(key: &str, reason: &'static str) -> GroupChange {
    GroupChange::Unusable(key.to_owned(), reason)
}
