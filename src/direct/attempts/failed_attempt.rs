use std::fmt::Display;
use std::time::Duration;

use crate::direct::quarantine::CrashSign;
use crate::entry::Failure;
use crate::net::BodyError;
use crate::outcome::Reason;

/// An attempt that brought no usable response, with a detail for the log.
#[derive(Clone, Debug)]
pub(in crate::direct) struct FailedAttempt {
    pub(in crate::direct) failure: Failure,
    pub(in crate::direct) detail: String,
    /// What the end of the attempt is a sign of, if the upstream may have crashed.
    pub(in crate::direct) sign: Option<CrashSign>,
    /// Time after which the caller is to return, if no other upstream would run the request either.
    pub(in crate::direct) retry_after: Option<Duration>,
    /// Whether a rank refused the request although nothing runs or waits there.
    pub(in crate::direct) refused_idle: bool,
}

impl FailedAttempt {
    pub(in crate::direct) fn new(failure: Failure, detail: impl Into<String>) -> Self {
        Self { failure, detail: detail.into(), sign: None, retry_after: None, refused_idle: false }
    }

    /// Returns whether the failure may come from the loss of a rank, which stops its group.
    pub(in crate::direct) fn may_be_rank_loss(&self) -> bool {
        self.refused_idle
            || self.sign == Some(CrashSign::ConnectionBroken)
            || self.failure.reason == Reason::UpstreamDown
    }

    /// Returns the failure of an attempt whose connection broke while the request ran.
    pub(in crate::direct) fn broken(err: &impl Display) -> Self {
        let failure = Failure::unknown(Reason::UpstreamLost);
        let sign = Some(CrashSign::ConnectionBroken);
        Self { sign, ..Self::new(failure, err.to_string()) }
    }

    /// Returns the failure of a stream that broke off. An event without end is no sign of a crash.
    pub(in crate::direct) fn broken_stream(err: &BodyError) -> Self {
        match err {
            BodyError::EventTooLarge => {
                Self::new(Failure::unknown(Reason::WrongAnswer), err.to_string())
            }
            _ => Self::broken(err),
        }
    }

    /// Returns the failure of an attempt whose upstream sent nothing until the entry gave up.
    pub(in crate::direct) fn silent(detail: impl Into<String>) -> Self {
        let failure = Failure::unknown(Reason::UpstreamTimeout);
        Self { sign: Some(CrashSign::Silence), ..Self::new(failure, detail) }
    }
}
