use crate::membership::GroupRow;

/// Change of what is known of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// The group has these members, and was not known before.
    Learned(GroupRow),
    /// The group has these members from now on.
    Changed(GroupRow),
    /// The group that this row listed is gone.
    Gone(GroupRow),
    /// The row with this key (first field) can't be used, for this reason (second field). What was
    /// known of the group still holds.
    Unusable(String, &'static str),
}
