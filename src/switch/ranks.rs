use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::task::JoinSet;

use super::{
    GroupRpcClient, LeaderError, MapId, Proposal, ProposalId, ProposalReply, RankReport, RankStats,
    Verdict, VoteStatus,
};

/// Timeout of calls that only exchange state.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call that has a rank fetch weights.
const FETCH_TIMEOUT: Duration = Duration::from_secs(120);

/// RPC clients for the sidecars of all ranks of a group, by rank.
#[derive(Clone, Debug)]
pub(super) struct Ranks {
    /// Clients with [`CALL_TIMEOUT`].
    calls: Vec<HttpClient>,
    /// Clients with [`FETCH_TIMEOUT`].
    fetches: Vec<HttpClient>,
    key: String,
}

impl Ranks {
    /// Clients for the sidecars at these addresses.
    pub(super) fn new(peers: &[SocketAddr], key: &str) -> Self {
        let clients = |limit: Duration| {
            let client = |peer: &SocketAddr| {
                HttpClientBuilder::default().request_timeout(limit).build(format!("http://{peer}"))
            };
            peers.iter().filter_map(|peer| client(peer).ok()).collect()
        };
        Self { calls: clients(CALL_TIMEOUT), fetches: clients(FETCH_TIMEOUT), key: key.to_owned() }
    }

    pub(super) const fn len(&self) -> usize {
        self.calls.len()
    }

    /// Calls all ranks concurrently and returns their answers by rank, `None` where a call failed.
    async fn all<T, F>(&self, clients: &[HttpClient], call: impl Fn(Callee) -> F) -> Vec<Option<T>>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, ClientError>> + Send + 'static,
    {
        let mut tasks = JoinSet::new();
        for (rank, client) in clients.iter().enumerate() {
            let (client, key) = (client.clone(), self.key.clone());
            let called = call(Callee { rank, client, key });
            tasks.spawn(async move { (rank, called.await.ok()) });
        }
        let mut answers: Vec<Option<T>> = clients.iter().map(|_| None).collect();
        while let Some(ended) = tasks.join_next().await {
            if let Ok((rank, answer)) = ended {
                answers[rank] = answer;
            }
        }
        answers
    }

    pub(super) async fn prefetch(&self, fence: u64, map: MapId) -> Vec<Option<bool>> {
        self.all(
            &self.fetches,
            move |to| async move { to.client.prefetch(to.key, fence, map).await },
        )
        .await
    }

    pub(super) async fn propose(&self, proposal: Proposal) -> Vec<Option<ProposalReply>> {
        self.all(&self.calls, move |to| async move { to.client.propose(to.key, proposal).await })
            .await
    }

    pub(super) async fn ask(&self, id: ProposalId) -> Vec<Option<Option<VoteStatus>>> {
        self.all(&self.calls, move |to| async move { to.client.ask(to.key, id).await }).await
    }

    pub(super) async fn settle(&self, id: ProposalId, verdict: Verdict) -> Vec<Option<()>> {
        self.all(&self.calls, move |to| async move { to.client.settle(to.key, id, verdict).await })
            .await
    }

    pub(super) async fn freeze(&self, epoch: u64) -> Vec<Option<Option<RankReport>>> {
        self.all(&self.calls, move |to| async move { to.client.freeze(to.key, epoch).await }).await
    }

    /// Has each rank join an epoch in the incarnation in which it was frozen.
    pub(super) async fn form(
        &self,
        incarnations: &[u64],
        epoch: u64,
        map: MapId,
    ) -> Vec<Option<bool>> {
        let calls = self.all(&self.calls, |to| {
            let incarnation = incarnations.get(to.rank).copied().unwrap_or_default();
            async move { to.client.form(to.key, incarnation, epoch, map).await }
        });
        calls.await
    }

    pub(super) async fn reports(&self) -> Result<Vec<RankReport>, LeaderError> {
        let reports = self.all(&self.calls, |to| async move { to.client.report(to.key).await });
        all_answers(reports.await)
    }

    pub(super) async fn stats(&self) -> Result<Vec<RankStats>, LeaderError> {
        let stats = self.all(&self.calls, |to| async move { to.client.stats(to.key).await });
        all_answers(stats.await)
    }
}

/// The rank that a call goes to.
struct Callee {
    rank: usize,
    client: HttpClient,
    key: String,
}

/// Returns all answers, or the first rank that gave none as an error.
pub(super) fn all_answers<T>(answers: Vec<Option<T>>) -> Result<Vec<T>, LeaderError> {
    answers
        .into_iter()
        .enumerate()
        .map(|(rank, answer)| answer.ok_or(LeaderError::RankLost(rank)))
        .collect()
}
