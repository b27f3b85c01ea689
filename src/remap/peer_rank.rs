use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use tokio::time::{Instant, sleep, timeout};

use super::{
    HeldExperts, MapUpdate, PrepareOrder, RankClient, RankCommand, RankCounts, RankError,
    RankOrder, RankRpcClient, RankState, Sidecar,
};
use crate::units::millis;

/// Max wait for a sidecar's answer: covers the sidecar's wait for the rank and the network round
/// trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(110);
/// Time added to it for each rank of the group, since the leader calls all of them at once and has
/// a fraction of a core.
const CALL_TIME_PER_RANK: Duration = Duration::from_micros(1_500);
/// Max wait when a whole map is sent: at 6 Mbit/s 22 KB take 30 ms, to 11 ranks 0.3 s.
const MAP_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Max wait for a sidecar that passes a map on to others.
const SHARE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Max age of a rank's report that is read from another machine. Ranks publish about every 200 ms.
const DIRECT_LAG_MS: u64 = 500;
/// Time after which the state of a bypassed sidecar's rank is read through it again. It must hear of
/// the leader before it presumes the leader lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// Client of a rank that calls it through the sidecar beside it, or directly if the sidecar does
/// not answer. Reads from the rank's own machine cost the group nothing.
#[derive(Debug)]
pub struct PeerRank<P> {
    connection: Connection,
    direct: Arc<P>,
    addr: SocketAddr,
    /// Term of the leader that makes the calls.
    term: u64,
    call_timeout: Duration,
    /// Whether the sidecar is bypassed, and since when. Ends with a state that it reads.
    bypassed_since: Mutex<Option<Instant>>,
}

/// How a rank is reached.
#[derive(Debug)]
enum Connection {
    /// Directly, as the rank beside this process.
    Local,
    /// Through the sidecar beside the rank.
    Sidecar(Sidecar),
}

impl<P: RankClient> PeerRank<P> {
    /// A client for the rank beside this process, which is called directly.
    pub fn local(direct: Arc<P>, addr: SocketAddr, term: u64) -> Self {
        Self {
            connection: Connection::Local,
            direct,
            addr,
            term,
            call_timeout: CALL_TIMEOUT,
            bypassed_since: Mutex::default(),
        }
    }

    /// A client for the rank at `addr`, one of `ranks`, with the sidecar beside it.
    pub fn via_sidecar(
        direct: Arc<P>,
        addr: SocketAddr,
        sidecar: Sidecar,
        term: u64,
        ranks: usize,
    ) -> Self {
        let ranks = u32::try_from(ranks).unwrap_or(u32::MAX);
        Self {
            connection: Connection::Sidecar(sidecar),
            direct,
            addr,
            term,
            call_timeout: CALL_TIMEOUT + CALL_TIME_PER_RANK * ranks,
            bypassed_since: Mutex::default(),
        }
    }

    /// Whether the rank is the one beside this process.
    pub const fn is_local(&self) -> bool {
        matches!(self.connection, Connection::Local)
    }

    /// The sidecar's client, unless there is none or it is being bypassed.
    fn sidecar(&self) -> Option<&HttpClient> {
        self.client(|since| since.is_none())
    }

    /// The sidecar's client if its state may be read, also to find out whether it answers again.
    fn sidecar_to_probe(&self) -> Option<&HttpClient> {
        self.client(|since| since.is_none_or(|since| since.elapsed() >= PROBE_INTERVAL))
    }

    fn client(&self, may_call: impl FnOnce(Option<Instant>) -> bool) -> Option<&HttpClient> {
        let Connection::Sidecar(sidecar) = &self.connection else { return None };
        let since = *self.bypassed_since.lock().unwrap_or_else(PoisonError::into_inner);
        may_call(since).then_some(&sidecar.client)
    }

    /// Reads a state that is not older than this call, without the sidecar.
    async fn state_from_now(&self) -> Result<RankState, RankError> {
        sleep(Duration::from_millis(DIRECT_LAG_MS)).await;
        self.direct.state().await
    }

    const fn sidecar_addr(&self) -> Option<SocketAddr> {
        match self.connection {
            Connection::Local => None,
            Connection::Sidecar(ref sidecar) => Some(sidecar.addr),
        }
    }

    /// Gives the order to prepare a map that is known beside the rank.
    async fn prepare_known(
        &self,
        sidecar: &HttpClient,
        version: u64,
        digest: u64,
        command: &RankCommand,
    ) -> Result<(), RankError> {
        let order = PrepareOrder { version, digest, epoch: command.epoch, fence: command.fence };
        let given = timeout(self.call_timeout, sidecar.prepare(self.term, order)).await;
        given.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }

    /// Bypasses the sidecar after a call without an answer.
    fn bypass_sidecar(&self) {
        self.set_bypassed_since(Some(Instant::now()));
    }

    fn set_bypassed_since(&self, since: Option<Instant>) {
        *self.bypassed_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }
}

impl<P: RankClient> RankClient for PeerRank<P> {
    async fn state(&self) -> Result<RankState, RankError> {
        if let Some(sidecar) = self.sidecar_to_probe() {
            match timeout(self.call_timeout, sidecar.state(self.term)).await {
                Ok(Ok(state)) => {
                    self.set_bypassed_since(None);
                    return state;
                }
                Ok(Err(_)) | Err(_) => self.bypass_sidecar(),
            }
        }
        let state = self.direct.state().await?;
        let lag_ms = if self.is_local() { 0 } else { DIRECT_LAG_MS };
        Ok(RankState { lag_ms, ..state })
    }

    async fn prepared_state(
        &self,
        version: u64,
        max_wait: Duration,
    ) -> Result<RankState, RankError> {
        if self.is_local() {
            return self.direct.prepared_state(version, max_wait).await;
        }
        let Some(sidecar) = self.sidecar() else { return self.state_from_now().await };
        let call = sidecar.prepared_state(self.term, version, millis(max_wait));
        match timeout(max_wait + self.call_timeout, call).await {
            Ok(Ok(state)) => state,
            Ok(Err(_)) | Err(_) => {
                self.bypass_sidecar();
                self.state_from_now().await
            }
        }
    }

    async fn share_map(&self, update: &MapUpdate, others: &[&Self]) -> Result<usize, RankError> {
        let sidecar = self.sidecar().ok_or(RankError::Unknown)?;
        let others = others.iter().filter_map(|other| other.sidecar_addr()).collect();
        let call = sidecar.share_map(self.term, update.clone(), others);
        match timeout(SHARE_TIMEOUT, call).await {
            Ok(Ok(shared)) => shared,
            Ok(Err(_)) | Err(_) => Err(RankError::Unknown),
        }
    }

    async fn counts(&self) -> Result<RankCounts, RankError> {
        // Reading counts from another machine would pause the group, and the counts are not worth
        // that. So there is no direct call if the sidecar does not answer.
        let Connection::Sidecar(_) = self.connection else { return self.direct.counts().await };
        let Some(sidecar) = self.sidecar() else { return Err(RankError::Unknown) };
        let counted = timeout(self.call_timeout, sidecar.counts(self.term)).await;
        counted.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        if let Some(sidecar) = self.sidecar() {
            match timeout(self.call_timeout, sidecar.held(self.term)).await {
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
        let limit = if let RankOrder::Prepare { version, map } = &command.order {
            match self.prepare_known(sidecar, *version, map.digest(), command).await {
                Err(RankError::MapMissing) => MAP_TIMEOUT,
                ended => return ended,
            }
        } else {
            self.call_timeout
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
        let given = timeout(self.call_timeout, call).await;
        given.ok().and_then(Result::ok).unwrap_or_else(|| {
            self.bypass_sidecar();
            Err(RankError::Unknown)
        })
    }
}
