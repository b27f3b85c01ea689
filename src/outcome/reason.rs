use displaydoc::Display;
use http::StatusCode;

/// Why a request was refused, failed or retried. Its name labels the counters and appears in
/// responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum Reason {
    /// the request names no client account that this system knows
    BadKey,
    /// no route of the client account's team fits the request
    NoRoute,
    /// a header of the request can't be read
    BadHeader,
    /// the request body is larger than the service takes
    BodyTooLarge,
    /// the request body broke off or came too slowly
    BodyBroken,
    /// the client account is over its rate
    AccountRate,
    /// the client account has too many requests in flight
    AccountInFlight,
    /// the deadline can't be met
    Deadline,
    /// no upstream of the service can be reached
    NoUpstream,
    /// every slot is taken and the wait would be too long
    Overload,
    /// the instance is leaving
    Leaving,
    /// the platform's table can't be asked whether the request has run
    StoreDown,
    /// the upstream does not accept connections
    UpstreamDown,
    /// the request has crashed upstreams and is held back
    Poison,
    /// the idempotency key was used with another body
    KeyReused,
    /// the request with this idempotency key is still running
    InProgress,
    /// a request with this idempotency key ended without an answer
    Unsettled,
    /// the upstream broke off its answer
    UpstreamLost,
    /// the upstream did not answer in time
    UpstreamTimeout,
    /// the sidecar broke off its answer
    LinkLost,
    /// the answer belongs to another attempt
    WrongAnswer,
    /// this sidecar does not serve the service
    WrongService,
    /// the request does not come from one of the system's own processes
    BadLink,
    /// no settings are in force here yet
    NoSettings,
    /// a second upstream is asked since the first is slow
    Hedge,
    /// the settings are too old to judge keys by
    StaleSettings,
    /// the caller left before the answer
    CallerGone,
    /// the upstream ran the request and failed it
    UpstreamFailed,
    /// every upstream of the service gets as many requests as it accepts at present
    UpstreamLimit,
    /// every upstream of the service that is left is in an evacuated failure domain
    Evacuated,
    /// the process holds as much for its callers as it may
    NoMemory,
}

impl Reason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 31] = [
        Self::BadKey,
        Self::NoRoute,
        Self::BadHeader,
        Self::BodyTooLarge,
        Self::BodyBroken,
        Self::AccountRate,
        Self::AccountInFlight,
        Self::Deadline,
        Self::NoUpstream,
        Self::Overload,
        Self::Leaving,
        Self::StoreDown,
        Self::UpstreamDown,
        Self::Poison,
        Self::KeyReused,
        Self::InProgress,
        Self::Unsettled,
        Self::UpstreamLost,
        Self::UpstreamTimeout,
        Self::LinkLost,
        Self::WrongAnswer,
        Self::WrongService,
        Self::BadLink,
        Self::NoSettings,
        Self::Hedge,
        Self::StaleSettings,
        Self::CallerGone,
        Self::UpstreamFailed,
        Self::UpstreamLimit,
        Self::Evacuated,
        Self::NoMemory,
    ];

    /// Returns the stable name of the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadKey => "bad-key",
            Self::NoRoute => "no-route",
            Self::BadHeader => "bad-header",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::AccountRate => "account-rate",
            Self::AccountInFlight => "account-in-flight",
            Self::Deadline => "deadline",
            Self::NoUpstream => "no-upstream",
            Self::Overload => "overload",
            Self::Leaving => "leaving",
            Self::StoreDown => "store-down",
            Self::UpstreamDown => "upstream-down",
            Self::Poison => "poison",
            Self::KeyReused => "key-reused",
            Self::InProgress => "in-progress",
            Self::Unsettled => "unsettled",
            Self::UpstreamLost => "upstream-lost",
            Self::UpstreamTimeout => "upstream-timeout",
            Self::LinkLost => "link-lost",
            Self::WrongAnswer => "wrong-answer",
            Self::WrongService => "wrong-service",
            Self::BadLink => "bad-link",
            Self::NoSettings => "no-settings",
            Self::Hedge => "hedge",
            Self::StaleSettings => "stale-settings",
            Self::CallerGone => "caller-gone",
            Self::UpstreamFailed => "upstream-failed",
            Self::UpstreamLimit => "upstream-limit",
            Self::Evacuated => "evacuated",
            Self::NoMemory => "no-memory",
        }
    }

    /// Parses the stable name.
    ///
    /// ```
    /// # use ebonyusher::outcome::Reason;
    /// assert_eq!(Reason::parse("overload"), Some(Reason::Overload));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == name)
    }

    /// Returns the HTTP status of a response with this reason.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadKey | Self::BadLink => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadHeader | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::AccountRate | Self::AccountInFlight => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline | Self::UpstreamTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyReused | Self::Poison => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::Unsettled => StatusCode::CONFLICT,
            Self::UpstreamLost | Self::UpstreamFailed | Self::LinkLost | Self::WrongAnswer => {
                StatusCode::BAD_GATEWAY
            }
            Self::NoUpstream
            | Self::Overload
            | Self::Leaving
            | Self::StoreDown
            | Self::UpstreamDown
            | Self::UpstreamLimit
            | Self::Evacuated
            | Self::NoMemory
            | Self::WrongService
            | Self::NoSettings
            | Self::StaleSettings
            | Self::CallerGone
            | Self::Hedge => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the request may succeed at another upstream.
    pub const fn may_succeed_elsewhere(self) -> bool {
        matches!(
            self,
            Self::Overload
                | Self::Leaving
                | Self::StoreDown
                | Self::UpstreamDown
                | Self::UpstreamLimit
                | Self::UpstreamLost
                | Self::UpstreamTimeout
                | Self::LinkLost
                | Self::WrongAnswer
                | Self::WrongService
                | Self::NoSettings
                | Self::NoMemory
        )
    }

    /// Returns the index of the reason's counter.
    pub const fn index(self) -> usize {
        self as usize
    }
}
