use std::str::FromStr;

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One model engine crashes and restarts.
    UpstreamCrash,
    /// One plain service crashes and restarts.
    LedgerCrash,
    /// One sidecar is killed.
    SidecarCrash,
    /// One entry is killed.
    EntryCrash,
    /// One upstream leaves gracefully.
    UpstreamLeave,
    /// One entry leaves gracefully.
    EntryLeave,
    /// The platform's table refuses all requests for a while.
    StoreDown,
    /// The platform's table answers slowly for a while.
    StoreSlow,
    /// Half of the table's writes take effect but their answers are lost, for a while.
    StoreLostAnswer,
    /// One engine becomes very slow for a while.
    Stall,
    /// A request that crashes every engine that runs it is sent repeatedly.
    Poison,
    /// One sidecar is partitioned from the entries for a while.
    Partition,
    /// Traffic between one sidecar and the entries is delayed for a while, so its answers come late.
    LateAnswers,
    /// The instance list is several seconds out of date until the end of the run.
    ListLag,
    /// Every third sidecar is killed, as in the loss of a failure domain.
    DomainLoss,
}

/// Fault and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultAt {
    /// The fault.
    pub fault: Fault,
    /// Seconds after the start of the run; the middle of the run if absent.
    pub second: Option<f64>,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 15] = [
        Self::UpstreamCrash,
        Self::LedgerCrash,
        Self::SidecarCrash,
        Self::EntryCrash,
        Self::UpstreamLeave,
        Self::EntryLeave,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLostAnswer,
        Self::Stall,
        Self::Poison,
        Self::Partition,
        Self::LateAnswers,
        Self::ListLag,
        Self::DomainLoss,
    ];

    /// Name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UpstreamCrash => "upstream-crash",
            Self::LedgerCrash => "ledger-crash",
            Self::SidecarCrash => "sidecar-crash",
            Self::EntryCrash => "entry-crash",
            Self::UpstreamLeave => "upstream-leave",
            Self::EntryLeave => "entry-leave",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::StoreLostAnswer => "store-lost-answer",
            Self::Stall => "stall",
            Self::Poison => "poison",
            Self::Partition => "partition",
            Self::LateAnswers => "late-answers",
            Self::ListLag => "list-lag",
            Self::DomainLoss => "domain-loss",
        }
    }
}

impl FromStr for FaultAt {
    type Err = String;

    /// Parses `NAME` or `NAME@SECOND`.
    ///
    /// ```
    /// # use ebonyusher_bench::load::{Fault, FaultAt};
    /// let at: FaultAt = "stall@3".parse().unwrap();
    /// assert_eq!(at, FaultAt { fault: Fault::Stall, second: Some(3.0) });
    /// ```
    fn from_str(text: &str) -> Result<Self, String> {
        let (name, second) = match text.split_once('@') {
            Some((name, second)) => (name, Some(second)),
            None => (text, None),
        };
        let fault = Fault::ALL.into_iter().find(|fault| fault.as_str() == name);
        let fault = fault.ok_or_else(|| {
            let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.as_str()).collect();
            format!("unknown fault {name:?}; expected one of {}", names.join(", "))
        })?;
        let second = second.map(|text| {
            let second = text.parse::<f64>().ok().filter(|second| *second >= 0.0);
            second.ok_or_else(|| format!("expected a second of 0 or more, got {text:?}"))
        });
        Ok(Self { fault, second: second.transpose()? })
    }
}
