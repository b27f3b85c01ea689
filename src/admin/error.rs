use std::fmt;

use displaydoc::Display;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::platform::TableError;
use crate::settings::{Change, CheckError, ParseError, StoreError};

/// Why an operator's request was refused.
#[derive(Clone, Debug, PartialEq)]
#[derive(Display, Error)]
pub enum AdminError {
    /// there is no such operation
    NoRoute,
    /// the operator's key is missing or unknown
    BadKey,
    /// the operator may not change the settings of team {0}
    ForeignTeam(String),
    /// the request body is too large or broke off
    BadBody,
    /// this entry holds as much for operators as it may, try again after a second
    NoMemory,
    /// {place}: {reason}
    Fault { place: String, reason: String },
    /// the settings are at version {version}, the change was made from another one
    Stale { version: u64, changes: Vec<Change> },
    /// the platform's table is unavailable, nothing has changed
    StoreDown,
    /// the platform's table gave no answer, change {0} may have been accepted
    Unknown(String),
    /// no upstream is named {0}
    NoUpstream(String),
    /// upstream {0} can't be reached
    Unreachable(String),
}

/// Body of an error response (RFC 9457).
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdminProblem {
    /// Type of the problem, as a relative URI reference that ends in the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Description of the problem in a sentence.
    pub title: String,
    /// HTTP status of the response.
    pub status: u16,
    /// Stable machine-readable reason.
    pub reason: String,
    /// JSON path of the fault, if the settings are invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<String>,
    /// Current version of the team's settings, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Differences between the current settings and those sent, after a conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl fmt::Display for AdminProblem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({})", self.title, self.reason)
    }
}

impl AdminError {
    /// Returns the stable machine-readable reason.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::BadKey => "bad-key",
            Self::ForeignTeam(_) => "foreign-team",
            Self::BadBody => "bad-body",
            Self::NoMemory => "no-memory",
            Self::Fault { .. } => "fault",
            Self::Stale { .. } => "stale",
            Self::StoreDown => "store-down",
            Self::Unknown(_) => "unknown",
            Self::NoUpstream(_) => "no-upstream",
            Self::Unreachable(_) => "unreachable",
        }
    }

    /// Returns the HTTP status of the response.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute | Self::NoUpstream(_) => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::ForeignTeam(_) => StatusCode::FORBIDDEN,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Fault { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Stale { .. } => StatusCode::CONFLICT,
            Self::StoreDown | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unreachable(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Builds the body of the error response.
    pub fn problem(&self) -> AdminProblem {
        let mut problem = AdminProblem {
            kind: format!("/problems/{}", self.reason()),
            title: self.to_string(),
            status: self.status().as_u16(),
            reason: self.reason().to_owned(),
            ..AdminProblem::default()
        };
        match self {
            Self::Fault { place, .. } => problem.place = Some(place.clone()),
            Self::Stale { version, changes } => {
                problem.version = Some(*version);
                problem.changes.clone_from(changes);
            }
            _ => {}
        }
        problem
    }
}

impl From<StoreError> for AdminError {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::Check(CheckError { place, reason }) => Self::Fault { place, reason },
            StoreError::Stale { version, changes } => Self::Stale { version, changes },
            StoreError::Unavailable | StoreError::Malformed(_) => Self::StoreDown,
            StoreError::Unknown { change } => Self::Unknown(change),
        }
    }
}

impl From<TableError> for AdminError {
    fn from(_: TableError) -> Self {
        Self::StoreDown
    }
}

impl From<ParseError> for AdminError {
    fn from(err: ParseError) -> Self {
        match err {
            ParseError::Json { place, reason } => Self::Fault { place, reason },
            ParseError::File { path, reason } => Self::Fault { place: path, reason },
        }
    }
}
