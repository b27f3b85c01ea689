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

/// Longest wait for a sidecar's answer: its own wait for the rank, and the way there and back.
const CALL_TIMEOUT: Duration = Duration::from_millis(130);
/// The same where a whole map goes to all ranks: 63 ranks with 8 sets take 0.7 s on 8 Mbit/s.
const MAP_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Age that a report read from another machine may have; ranks publish about each 200 ms.
const DIRECT_LAG_MS: u64 = 500;
/// Time in which a sidecar that did not answer is passed by.
const PASS_BY_TIME: Duration = Duration::from_millis(1_500);

/// The way to a rank: through the sidecar beside it, for which the rank's answers are free, or
/// straight if the sidecar does not answer.
#[derive(Debug)]
pub struct PeerRank<P> {
    way: Way,
    direct: Arc<P>,
    addr: SocketAddr,
    term: u64,
    silent_until: Mutex<Option<Instant>>,
}

#[derive(Debug)]
enum Way {
    /// The rank beside this process.
    Own,
    Sidecar(HttpClient),
}

impl<P: RankClient> PeerRank<P> {
    /// The way to the rank beside this process.
    pub fn local(direct: Arc<P>, addr: SocketAddr, term: u64) -> Self {
        Self { way: Way::Own, direct, addr, term, silent_until: Mutex::default() }
    }

    /// The way to the rank at `addr` whose sidecar listens at another address.
    ///
    /// # Errors
    /// If no client can be made for the address.
    pub fn via_sidecar(
        direct: Arc<P>,
        addr: SocketAddr,
        sidecar: SocketAddr,
        term: u64,
    ) -> Result<Self, ClientError> {
        let client = HttpClientBuilder::default()
            .request_timeout(MAP_TIMEOUT)
            .build(format!("http://{sidecar}"))?;
        let way = Way::Sidecar(client);
        Ok(Self { way, direct, addr, term, silent_until: Mutex::default() })
    }

    /// Whether the rank is the one beside this process.
    pub const fn is_local(&self) -> bool {
        matches!(self.way, Way::Own)
    }

    fn sidecar(&self) -> Option<&HttpClient> {
        let Way::Sidecar(client) = &self.way else { return None };
        let silent = *self.silent_until.lock().unwrap_or_else(PoisonError::into_inner);
        silent.is_none_or(|until| until <= Instant::now()).then_some(client)
    }

    fn pass_by(&self) {
        let until = Instant::now() + PASS_BY_TIME;
        *self.silent_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }
}

impl<P: RankClient> RankClient for PeerRank<P> {
    async fn state(&self) -> Result<RankState, RankError> {
        if let Some(sidecar) = self.sidecar() {
            match timeout(CALL_TIMEOUT, sidecar.state(self.term)).await {
                Ok(Ok(state)) => return state,
                Ok(Err(_)) | Err(_) => self.pass_by(),
            }
        }
        let state = self.direct.state().await?;
        let lag_ms = if self.is_local() { 0 } else { DIRECT_LAG_MS };
        Ok(RankState { lag_ms, ..state })
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        // Counts are worth less than the group's pause for a reading from another machine.
        let Way::Sidecar(_) = self.way else { return self.direct.counts().await };
        let Some(sidecar) = self.sidecar() else { return Err(RankError::Unknown) };
        let counted = timeout(CALL_TIMEOUT, sidecar.counts(self.term)).await;
        counted.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.pass_by();
            Err(RankError::Unknown)
        })
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        if let Some(sidecar) = self.sidecar() {
            match timeout(CALL_TIMEOUT, sidecar.held(self.term)).await {
                Ok(Ok(held)) => return held,
                Ok(Err(_)) | Err(_) => self.pass_by(),
            }
        }
        self.direct.held().await
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        // A group must not be held, or stand on, because the holding rank's machine is lost.
        let holds = matches!(command.order, RankOrder::Hold { .. } | RankOrder::Release { .. });
        let Some(sidecar) = self.sidecar().filter(|_| !holds) else {
            return self.direct.command(command).await;
        };
        let patience = match command.order {
            RankOrder::Prepare { .. } => MAP_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let given = timeout(patience, sidecar.command(self.term, command.clone())).await;
        given.ok().and_then(Result::ok).unwrap_or_else(|| {
            // The sidecar may have passed the order on.
            self.pass_by();
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
            self.pass_by();
            Err(RankError::Unknown)
        })
    }
}
