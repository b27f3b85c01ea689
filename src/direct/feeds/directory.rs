use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

use crate::direct::Routing;
use crate::platform::{Row, TableError};

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Id of the upstream in the platform.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Whether it is draining.
    pub draining: bool,
    /// Unix time of its start in milliseconds, if the platform knows it.
    pub started_at_ms: Option<u64>,
    /// How long it stays cold from the time of the listing, zero if the listing does not say.
    pub cold: Duration,
}

/// A change of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// The upstream is listed with these properties.
    Listed(ListedUpstream),
    /// The upstream with this id is no longer listed.
    Gone(String),
    /// The listing with this id (first field) can't be used, for this reason (second field).
    Unusable(String, String),
}

/// A change of the settings.
#[derive(Clone, Debug)]
pub enum RoutingChange {
    /// These settings were written.
    Written(Box<Routing>),
    /// Settings were written that can't be used, for this reason.
    Unusable(String),
    /// The operator wants no requests sent to upstreams of this failure domain.
    Evacuated(String),
    /// The failure domain is no longer evacuated.
    Restored(String),
}

/// A change of ebonyusher's own table.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// The row was written.
    Written(Row),
    /// The row with this key was removed.
    Removed(String),
    /// The row with this key (first field) can't be read, for this reason (second field).
    Unusable(String, TableError),
}

impl RowChange {
    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(row) => &row.key,
            Self::Removed(key) | Self::Unusable(key, _) => key,
        }
    }
}

/// A position in the platform's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Era of the platform's store. It rises each time that the store comes back from an older copy;
    /// versions are then given again, so a position means nothing in another era.
    pub era: u64,
    /// Version of the last change.
    pub version: u64,
}

/// Changes in the order in which the platform applied them.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// The changes.
    pub items: Vec<T>,
    /// Position from which the next call continues.
    pub cursor: Cursor,
}

/// Why the platform returned no changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum DirectoryError {
    /// the changes since the cursor are no longer kept
    HistoryGone,
    /// the platform's store came back from an older copy, its era is now {0}
    Rewound(u64),
    /// the platform does not respond: {0}
    Unavailable(String),
}

/// Source of the settings and of the list of upstreams.
pub trait Directory: Send + Sync + 'static {
    /// Returns the current settings and evacuated failure domains or, if there is a cursor, what
    /// changed after it. In that case it waits until there are changes or `wait` has passed.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn routing(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<RoutingChange>, DirectoryError>> + Send;

    /// Returns the whole list of upstreams or, if there is a cursor, the changes after it. In that
    /// case it waits as [`Self::routing`] does.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn upstreams(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<ListChange>, DirectoryError>> + Send;

    /// Returns the rows of ebonyusher's own table or, if there is a cursor, the changes after it. In
    /// that case it waits as [`Self::routing`] does.
    ///
    /// # Errors
    /// As [`DirectoryError`] says.
    fn rows(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<RowChange>, DirectoryError>> + Send;
}
