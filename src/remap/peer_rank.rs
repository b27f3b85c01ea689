use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use tokio::time::{Instant, sleep, timeout};

use super::{
    HeldExperts, LeaderTerm, MapUpdate, PrepareOrder, RankClient, RankCommand, RankCounts,
    RankError, RankOrder, RankRpcClient, RankState, Sidecar, command_confirmed,
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
/// Max time since a rank was seen in the leader's group for an order that no sidecar beside the rank
/// checks. A rank that moves takes longer than that to form another group.
const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(1);

/// Client of a rank that calls it through the sidecar beside it, or directly if the sidecar does
/// not answer. Reads from the rank's own machine cost the group nothing.
#[derive(Debug)]
pub struct PeerRank<P> {
    connection: Connection,
    direct: Arc<P>,
    addr: SocketAddr,
    /// Leader that makes the calls.
    leader: LeaderTerm,
    call_timeout: Duration,
    /// Whether the sidecar is bypassed, and since when. Ends with a state that it reads.
    bypassed_since: Mutex<Option<Instant>>,
    /// When the rank was last known to be in the leader's group.
    confirmed_at: Mutex<Option<Instant>>,
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
    pub fn local(direct: Arc<P>, addr: SocketAddr, leader: LeaderTerm) -> Self {
        Self {
            connection: Connection::Local,
            direct,
            addr,
            leader,
            call_timeout: CALL_TIMEOUT,
            bypassed_since: Mutex::default(),
            confirmed_at: Mutex::default(),
        }
    }

    /// A client for the rank at `addr`, one of `ranks`, with the sidecar beside it.
    pub fn via_sidecar(
        direct: Arc<P>,
        addr: SocketAddr,
        sidecar: Sidecar,
        leader: LeaderTerm,
        ranks: usize,
    ) -> Self {
        Self {
            connection: Connection::Sidecar(sidecar),
            direct,
            addr,
            leader,
            call_timeout: call_timeout(ranks),
            bypassed_since: Mutex::default(),
            confirmed_at: Mutex::default(),
        }
    }

    /// Limits the calls' time as for a group of this number of ranks.
    #[must_use]
    pub fn with_group_size(self, ranks: usize) -> Self {
        if self.is_local() { self } else { Self { call_timeout: call_timeout(ranks), ..self } }
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

    /// Awaits the sidecar's answer for at most `limit`. Without one the sidecar is bypassed.
    async fn answer<T, E>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<Result<T, RankError>, E>>,
    ) -> Option<Result<T, RankError>> {
        let answer = timeout(limit, call).await.ok().and_then(Result::ok);
        if answer.is_none() {
            self.set_bypassed_since(Some(Instant::now()));
        }
        answer
    }

    /// Reads the state without the sidecar.
    async fn direct_state(&self) -> Result<RankState, RankError> {
        let state = self.direct.state().await?;
        let lag_ms = if self.is_local() { 0 } else { DIRECT_LAG_MS };
        let state = RankState { lag_ms, ..state };
        self.confirm(&state);
        Ok(state)
    }

    /// Reads a state that is not older than this call, without the sidecar.
    async fn state_from_now(&self) -> Result<RankState, RankError> {
        sleep(Duration::from_millis(DIRECT_LAG_MS)).await;
        self.direct.state().await
    }

    /// Records when the rank was in the leader's group.
    fn confirm(&self, state: &RankState) {
        let seen = Instant::now().checked_sub(Duration::from_millis(state.lag_ms));
        let in_group = state.group == self.leader.group;
        let confirmed = seen.filter(|_| in_group);
        *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner) = confirmed;
    }

    fn is_confirmed(&self) -> bool {
        let at = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        at.is_some_and(|at| at.elapsed() < MAX_CONFIRMED_AGE)
    }

    /// Refuses an order that no sidecar beside the rank checks, unless the rank is in the leader's
    /// group. The state of a rank on this machine is always read again.
    async fn check_group(&self) -> Result<(), RankError> {
        if !self.is_local() && self.is_confirmed() {
            return Ok(());
        }
        self.direct_state().await?;
        if self.is_confirmed() { Ok(()) } else { Err(RankError::Refused) }
    }

    /// Gives an order without the sidecar beside the rank.
    async fn command_direct(&self, command: &RankCommand) -> Result<(), RankError> {
        self.check_group().await?;
        if self.is_local() {
            return command_confirmed(self.direct.as_ref(), command).await;
        }
        self.direct.command(command).await
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
        let call = sidecar.prepare(self.leader.clone(), order);
        self.answer(self.call_timeout, call).await.unwrap_or(Err(RankError::Unknown))
    }

    fn set_bypassed_since(&self, since: Option<Instant>) {
        *self.bypassed_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }
}

/// Max wait for the answers of the sidecars of a group.
fn call_timeout(ranks: usize) -> Duration {
    CALL_TIMEOUT + CALL_TIME_PER_RANK * u32::try_from(ranks).unwrap_or(u32::MAX)
}

impl<P: RankClient> RankClient for PeerRank<P> {
    async fn state(&self) -> Result<RankState, RankError> {
        if let Some(sidecar) = self.sidecar_to_probe() {
            let call = sidecar.state(self.leader.clone());
            if let Some(state) = self.answer(self.call_timeout, call).await {
                self.set_bypassed_since(None);
                return state.inspect(|state| self.confirm(state));
            }
        }
        self.direct_state().await
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
        let call = sidecar.prepared_state(self.leader.clone(), version, millis(max_wait));
        match self.answer(max_wait + self.call_timeout, call).await {
            Some(state) => state.inspect(|state| self.confirm(state)),
            None => self.state_from_now().await,
        }
    }

    async fn share_map(&self, update: &MapUpdate, others: &[&Self]) -> Result<usize, RankError> {
        let sidecar = self.sidecar().ok_or(RankError::Unknown)?;
        let others = others.iter().filter_map(|other| other.sidecar_addr()).collect();
        let call = sidecar.share_map(self.leader.clone(), update.clone(), others);
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
        let call = sidecar.counts(self.leader.clone());
        self.answer(self.call_timeout, call).await.unwrap_or(Err(RankError::Unknown))
    }

    async fn held(&self) -> Result<Vec<HeldExperts>, RankError> {
        if let Some(sidecar) = self.sidecar() {
            let call = sidecar.held(self.leader.clone());
            if let Some(held) = self.answer(self.call_timeout, call).await {
                return held;
            }
        }
        self.direct.held().await
    }

    async fn command(&self, command: &RankCommand) -> Result<(), RankError> {
        // Hold and release go directly to the rank: the group must not stay held or stalled because
        // the machine of the rank that holds it is lost.
        let holds = matches!(command.order, RankOrder::Hold { .. } | RankOrder::Release { .. });
        let Some(sidecar) = self.sidecar().filter(|_| !holds) else {
            return self.command_direct(command).await;
        };
        let limit = if let RankOrder::Prepare { version, map } = &command.order {
            match self.prepare_known(sidecar, *version, map.digest(), command).await {
                Err(RankError::MapMissing) => MAP_TIMEOUT,
                ended => return ended,
            }
        } else {
            self.call_timeout
        };
        let call = sidecar.command(self.leader.clone(), command.clone());
        // The sidecar may have forwarded an order that it did not answer.
        self.answer(limit, call).await.unwrap_or(Err(RankError::Unknown))
    }

    async fn command_at(&self, other: &Self, command: &RankCommand) -> Result<(), RankError> {
        let Some(sidecar) = self.sidecar() else {
            return other.command_direct(command).await;
        };
        other.check_group().await?;
        let call = sidecar.command_at(self.leader.clone(), other.addr, command.clone());
        self.answer(self.call_timeout, call).await.unwrap_or(Err(RankError::Unknown))
    }
}
