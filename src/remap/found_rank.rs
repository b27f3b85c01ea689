use super::RankState;

/// Listed upstream with the state that its rank reports.
#[derive(Clone, Debug)]
pub struct FoundRank<P> {
    /// Id of the upstream.
    pub id: String,
    /// State of the rank, `None` if it gives none.
    pub state: Option<RankState>,
    /// Client of the rank.
    pub client: P,
}
