/// What an entry knows of whether a group runs, in the order in which groups are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GroupCondition {
    /// The group is not known to run, and this request is to find out.
    Probe,
    /// The group responds.
    Running,
    /// The group has not responded yet.
    Unknown,
    /// The group stalls, its ranks refuse requests, or it just failed this request.
    Down,
}
