use std::time::Duration;

use crate::direct::attempts::Connection;

/// Maximum number of idle connections to an upstream.
const MAX_CONNECTIONS: usize = 4;
/// Idle time after which a connection is not reused, shorter than the usual timeout of upstreams.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Connections to an upstream on which no request is in flight.
#[derive(Debug, Default)]
pub(super) struct IdleConnections(Vec<Connection>);

impl IdleConnections {
    /// Returns whether any can be reused.
    pub(super) fn has_usable(&self) -> bool {
        self.0.iter().any(|conn| conn.is_usable(MAX_IDLE_TIME))
    }

    /// Takes one that can be reused.
    pub(super) fn take(&mut self) -> Option<Connection> {
        self.drop_unusable();
        self.0.pop()
    }

    /// Keeps a connection for later requests, unless there are enough.
    pub(super) fn put(&mut self, conn: Connection) {
        self.drop_unusable();
        if self.0.len() < MAX_CONNECTIONS {
            self.0.push(conn);
        }
    }

    /// Closes all.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    fn drop_unusable(&mut self) {
        self.0.retain(|conn| conn.is_usable(MAX_IDLE_TIME));
    }
}
