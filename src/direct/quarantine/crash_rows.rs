use std::collections::HashSet;

use smallvec::SmallVec;

use super::crash_record::CrashRecord;
use super::{Crashes, SharedCrashes};

/// What a row of the table is to say of a request, `None` if it is to be removed.
pub(in crate::direct) type RowContent = Option<SharedCrashes>;

/// The rows of the table by which entries share crashes.
impl Crashes {
    /// Applies that another entry has removed the row of a request because the request completed.
    /// Crashes that this entry has yet to share were noticed later.
    pub(in crate::direct) fn merge_removal(&self, fingerprint: u64) {
        let mut state = self.lock();
        if !state.unshared.contains(&fingerprint) {
            state.records.remove(&fingerprint);
        }
    }

    /// Removes a row that no longer counts, unless this entry knows of later crashes.
    pub(in crate::direct) fn remove_row(&self, fingerprint: u64) {
        self.share(&mut self.lock(), fingerprint);
    }

    /// Marks all requests as to be shared that the table, read as a whole, does not hold.
    pub(in crate::direct) fn share_all_but(&self, listed: &HashSet<u64>) {
        let mut state = self.lock();
        let missing: Vec<u64> =
            state.records.keys().copied().filter(|key| !listed.contains(key)).collect();
        missing.into_iter().for_each(|fingerprint| self.share(&mut state, fingerprint));
    }

    /// Waits until requests are to be shared, and returns some of them with what their rows are to
    /// say.
    pub(in crate::direct) async fn unshared(&self, max: usize) -> SmallVec<[(u64, RowContent); 8]> {
        loop {
            let rows = self.unshared_now(max);
            if !rows.is_empty() {
                return rows;
            }
            self.unshared.notified().await;
        }
    }

    fn unshared_now(&self, max: usize) -> SmallVec<[(u64, RowContent); 8]> {
        let state = self.lock();
        let content = |key: &u64| state.records.get(key).map(CrashRecord::shared);
        state.unshared.iter().take(max).map(|key| (*key, content(key))).collect()
    }

    /// Records that the row of a request says this, unless more has become known meanwhile.
    pub(in crate::direct) fn confirm_shared(&self, fingerprint: u64, written: &RowContent) {
        let mut state = self.lock();
        let known = state.records.get(&fingerprint);
        let is_current = match (known, written) {
            (Some(known), Some(written)) => known.is_said_by(written),
            (known, written) => known.is_none() && written.is_none(),
        };
        if is_current {
            state.unshared.remove(&fingerprint);
        }
    }
}
