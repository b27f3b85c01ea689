use std::time::Duration;

use crate::direct::feeds::CurrentRouting;
use crate::net::{CurrentLimits, H1Limits};

/// Maximum time that a connection may be idle. The limit in the settings is not applied: a shorter
/// one may come into force at any time, and a connection that closes while a request arrives loses
/// the request.
const IDLE_TIME: Duration = Duration::from_secs(90);
/// Size of a head that is read in any case.
const MIN_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a head, whatever the settings allow.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Part of a head that does not count in the settings: the request line and the line ends.
const UNCOUNTED_BYTES: usize = 4 << 10;
/// Time that a head may spend on its way, beside the time in which the caller must send it.
const TRANSIT_TIME: Duration = Duration::from_secs(2);
/// Time for a head as long as there are no settings, and for those who ask for readiness or metrics.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);

/// Limits of connections to the readiness check and the metrics.
pub(super) const MONITORING_LIMITS: H1Limits =
    H1Limits { idle_time: IDLE_TIME, head_time: DEFAULT_HEAD_TIME, head_bytes: MIN_HEAD_BYTES };

/// Limits of connections to an entry, by the settings in force when they are accepted.
#[derive(Debug)]
pub(super) struct HeadLimits(pub(super) CurrentRouting);

impl CurrentLimits for HeadLimits {
    fn current(&self) -> H1Limits {
        let limits = self.0.get().map(|routing| routing.limits);
        let bytes = limits.map_or(MIN_HEAD_BYTES, |limits| limits.head_bytes as usize);
        let time = limits.map_or(DEFAULT_HEAD_TIME, |limits| limits.head_time);
        H1Limits {
            idle_time: IDLE_TIME,
            head_time: time + TRANSIT_TIME,
            head_bytes: bytes.clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES) + UNCOUNTED_BYTES,
        }
    }
}
