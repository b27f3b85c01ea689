use displaydoc::Display;
use thiserror::Error;

use crate::admin::ClientError;
use crate::settings::{CheckError, ParseError};

/// Why a command failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Display, Error)]
pub enum CtlError {
    /// {0}
    Input(#[from] ParseError),
    /// {0}
    Check(#[from] CheckError),
    /// EBONYUSHER_KEY must hold the operator's key (for digest, EBONYUSHER_NEW_KEY the new key)
    NoKey,
    /// {0}
    Client(#[from] ClientError),
    /// the settings differ
    Differs,
    /// these logs contain no line about the request
    NotLogged,
}
