use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

use super::Routing;
use crate::platform::{Row, TableError};

/// An upstream as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The platform's id of it.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Unix time of its start in milliseconds, where told.
    pub started_at_ms: Option<u64>,
}

/// A change of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// The upstream is listed like this now.
    Listed(ListedUpstream),
    /// The upstream is no longer listed.
    Gone(String),
    /// The entry with this id can't be used, for the reason given.
    Unusable(String, String),
}

/// A change of the settings.
#[derive(Clone, Debug)]
pub enum RoutingChange {
    /// These settings were written.
    Written(Box<Routing>),
    /// Settings were written that can't be used, for the reason given.
    Unusable(String),
}

/// Changes in the order in which the platform took them in.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// The changes.
    pub items: Vec<T>,
    /// Where the next call goes on.
    pub cursor: u64,
}

/// Why the platform told nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum DirectoryError {
    /// the changes since the cursor are no longer kept
    HistoryGone,
    /// the platform gives no answer: {0}
    Unavailable(String),
}

/// Where settings and upstreams are read from.
pub trait Directory: Send + Sync + 'static {
    /// The settings as they are, or, after a cursor, once they are written or the wait is over.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn routing(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<RoutingChange>, DirectoryError>> + Send;

    /// The list of upstreams as it is, or, after a cursor, what has changed.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn upstreams(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<ListChange>, DirectoryError>> + Send;

    /// The rows of the product's own table as they are, or, after a cursor, those written since;
    /// removed ones are left out. A row that can't be read comes as its fault.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn rows(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Result<Row, TableError>>, DirectoryError>> + Send;
}
