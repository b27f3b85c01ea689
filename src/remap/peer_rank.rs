use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::time::{Instant, timeout};

use super::{
    HeldExperts, RankClient, RankCommand, RankCounts, RankError, RankOrder, RankRpcClient,
    RankState,
};

/// Max wait for a sidecar's answer: covers the sidecar's wait for the rank and the network round
/// trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(130);
/// Max wait when a whole map is sent to all ranks: 63 ranks with 8 sets take 0.7 s at 8 Mbit/s.
const MAP_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Max age of a rank's report that is read from another machine. Ranks publish about every 200 ms.
const DIRECT_LAG_MS: u64 = 500;
/// Time for which a sidecar that did not answer is bypassed.
const BYPASS_TIME: Duration = Duration::from_millis(1_500);

/// Client of a rank that calls it through the sidecar beside it, or directly if the sidecar does
/// not answer. Reads from the rank's own machine cost the group nothing.
#[derive(Debug)]
pub struct PeerRank<P> {
    connection: Connection,
    direct: Arc<P>,
    addr: SocketAddr,
    /// Term of the leader that makes the calls.
    term: u64,
    /// Until when the sidecar is bypassed.
    bypassed_until: Mutex<Option<Instant>>,
}

/// How a rank is reached.
#[derive(Debug)]
enum Connection {
    /// Directly, as the rank beside this process.
    Local,
    /// Through the sidecar beside the rank.
    Sidecar(HttpClient),
}

impl<P: RankClient> PeerRank<P> {
    /// A client for the rank beside this process, which is called directly.
    pub fn local(direct: Arc<P>, addr: SocketAddr, term: u64) -> Self {
        Self { connection: Connection::Local, direct, addr, term, bypassed_until: Mutex::default() }
    }

    /// A client for the rank at `addr`, whose sidecar listens at `sidecar`.
    ///
    /// # Errors
    /// If no RPC client can be built for the sidecar's address.
    pub fn via_sidecar(
        direct: Arc<P>,
        addr: SocketAddr,
        sidecar: SocketAddr,
        term: u64,
    ) -> Result<Self, ClientError> {
        let client = HttpClientBuilder::default()
            .request_timeout(MAP_TIMEOUT)
            .build(format!("http://{sidecar}"))?;
        let connection = Connection::Sidecar(client);
        Ok(Self { connection, direct, addr, term, bypassed_until: Mutex::default() })
    }

    /// Whether the rank is the one beside this process.
    pub const fn is_local(&self) -> bool {
        matches!(self.connection, Connection::Local)
    }

    /// The sidecar's client, unless there is none or it is being bypassed.
    fn sidecar(&self) -> Option<&HttpClient> {
        let Connection::Sidecar(client) = &self.connection else { return None };
        let bypassed = *self.bypassed_until.lock().unwrap_or_else(PoisonError::into_inner);
        bypassed.is_none_or(|until| until <= Instant::now()).then_some(client)
    }

    /// Bypasses the sidecar for a while, after a call without an answer.
    fn bypass_sidecar(&self) {
        let until = Instant::now() + BYPASS_TIME;
        *self.bypassed_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }
}

impl<P: RankClient> RankClient for PeerRank<P> {
    async fn state(&self) -> Result<RankState, RankError> {
        if let Some(sidecar) = self.sidecar() {
            match timeout(CALL_TIMEOUT, sidecar.state(self.term)).await {
                Ok(Ok(state)) => return state,
                Ok(Err(_)) | Err(_) => self.bypass_sidecar(),
            }
        }
        let state = self.direct.state().await?;
        let lag_ms = if self.is_local() { 0 } else { DIRECT_LAG_MS };
        Ok(RankState { lag_ms, ..state })
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        // Reading counts from another machine would pause the group, and the counts are not worth
        // that. So there is no direct call if the sidecar does not answer.
        let Connection::Sidecar(_) = self.connection else { return self.direct.counts().await };
        let Some(sidecar) = self.sidecar() else { return Err(RankError::Unknown) };
        let counted = timeout(CALL_TIMEOUT, sidecar.counts(self.term)).await;
        counted.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        if let Some(sidecar) = self.sidecar() {
            match timeout(CALL_TIMEOUT, sidecar.held(self.term)).await {
                Ok(Ok(held)) => return held,
                Ok(Err(_)) | Err(_) => self.bypass_sidecar(),
            }
        }
        self.direct.held().await
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        // Hold and release go directly to the rank: the group must not stay held or stalled because
        // the machine of the rank that holds it is lost.
        let holds = matches!(command.order, RankOrder::Hold { .. } | RankOrder::Release { .. });
        let Some(sidecar) = self.sidecar().filter(|_| !holds) else {
            return self.direct.command(command).await;
        };
        let limit = match command.order {
            RankOrder::Prepare { .. } => MAP_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let given = timeout(limit, sidecar.command(self.term, command.clone())).await;
        given.ok().and_then(Result::ok).unwrap_or_else(|| {
            // The sidecar may have forwarded the order.
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }

    async fn command_at(&self, other: &Self, command: &RankCommand) -> Result<(), RankError> {
        let Some(sidecar) = self.sidecar() else {
            return other.direct.command(command).await;
        };
        let call = sidecar.command_at(self.term, other.addr, command.clone());
        let given = timeout(CALL_TIMEOUT, call).await;
        given.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }
}
