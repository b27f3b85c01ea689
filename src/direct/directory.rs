use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

use super::Routing;
use crate::platform::Row;

/// An upstream as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
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
    pub born: Option<u64>,
}

/// A change of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// The upstream is listed like this now.
    Listed(Listed),
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
    /// Reads the settings as they are.
    ///
    /// # Errors
    /// [`DirectoryError::Unavailable`] without an answer.
    fn read_routing(
        &self,
    ) -> impl Future<Output = Result<Changes<RoutingChange>, DirectoryError>> + Send;

    /// Waits at most so long for settings written after a cursor.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn watch_routing(
        &self,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<RoutingChange>, DirectoryError>> + Send;

    /// Reads the list of upstreams as it is.
    ///
    /// # Errors
    /// [`DirectoryError::Unavailable`] without an answer.
    fn read_upstreams(
        &self,
    ) -> impl Future<Output = Result<Changes<ListChange>, DirectoryError>> + Send;

    /// Waits at most so long for changes of the list after a cursor.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn watch_upstreams(
        &self,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<ListChange>, DirectoryError>> + Send;

    /// Reads the rows of the product's own table.
    ///
    /// # Errors
    /// [`DirectoryError::Unavailable`] without an answer.
    fn read_rows(&self) -> impl Future<Output = Result<Changes<Row>, DirectoryError>> + Send;

    /// Waits at most so long for rows of the product's own table written after a cursor. Removed
    /// ones are left out.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn watch_rows(
        &self,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Row>, DirectoryError>> + Send;
}
