use std::sync::Arc;

use tokio::time::Instant;

use super::{GroupChange, GroupDirectory};
use crate::capacity::CapacitySwitch;
use crate::direct::event::Event;
use crate::direct::{DirectMeter, RowChange};
use crate::event_log::{EventLog, Level};

/// Applies the rows of groups to the directory, logs the changes and updates the gauge.
#[derive(Debug)]
pub(in crate::direct) struct GroupFeed {
    pub(in crate::direct) directory: Arc<GroupDirectory>,
    /// Is on, unless set otherwise, while a service has several groups.
    pub(in crate::direct) capacity_switch: Arc<CapacitySwitch>,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl GroupFeed {
    /// Applies a change of the table, if it is the row of a group.
    pub(in crate::direct) fn apply(&self, change: &RowChange) {
        self.record(self.directory.apply(change, Instant::now()));
    }

    /// Forgets the groups whose rows are not among all rows of the table.
    pub(in crate::direct) fn retain(&self, rows: &[RowChange]) {
        self.record(self.directory.retain(rows));
    }

    fn record(&self, changes: impl IntoIterator<Item = GroupChange>) {
        for change in changes {
            let (row, name) = match &change {
                GroupChange::Learned(row) => (row, "learned"),
                GroupChange::Changed(row) => (row, "changed"),
                GroupChange::Gone(row) => (row, "gone"),
                GroupChange::Unusable(key, reason) => {
                    self.log.write(Level::Warn, &Event::GroupUnusable { key, reason });
                    continue;
                }
            };
            let event = Event::Group {
                service: &row.service,
                group: row.group.as_str(),
                change: name,
                epoch: row.epoch,
                term: row.term,
                members: row.members.len(),
            };
            self.log.write(Level::Info, &event);
            self.meter.groups(self.directory.len());
            self.capacity_switch.set_groups(self.directory.has_several());
        }
    }
}
