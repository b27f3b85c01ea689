use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{HttpClient, h1_client};

/// An HTTP/1.1 client that uses no connection again that was open when another one went silent.
///
/// Connections go silent without a reset, several at a time, and each would take a time limit to be
/// noticed.
#[derive(Debug)]
pub struct RenewableClient(Mutex<Generation>);

/// Connections that were opened since the last one that went silent.
#[derive(Clone, Debug)]
struct Generation {
    number: u64,
    client: HttpClient,
}

/// The use of a client for one exchange. Dropping it tells that the exchange was given up.
#[derive(Debug)]
pub struct ClientLease<'a> {
    owner: &'a RenewableClient,
    generation: Generation,
    is_complete: bool,
}

impl Default for RenewableClient {
    fn default() -> Self {
        Self(Mutex::new(Generation { number: 0, client: h1_client() }))
    }
}

impl RenewableClient {
    fn lock(&self) -> MutexGuard<'_, Generation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an exchange.
    ///
    /// ```
    /// # use ebonyusher::net::RenewableClient;
    /// let client = RenewableClient::default();
    /// client.lease().close();
    /// assert_eq!(client.renewals(), 0);
    /// let (first, second) = (client.lease(), client.lease());
    /// drop((first, second));
    /// assert_eq!(client.renewals(), 1);
    /// ```
    pub fn lease(&self) -> ClientLease<'_> {
        ClientLease { owner: self, generation: self.lock().clone(), is_complete: false }
    }

    /// Returns how often the connections were given up.
    pub fn renewals(&self) -> u64 {
        self.lock().number
    }
}

impl ClientLease<'_> {
    /// The client to use.
    pub const fn client(&self) -> &HttpClient {
        &self.generation.client
    }

    /// Ends an exchange that brought a response or an error of its connection.
    pub fn close(mut self) {
        self.is_complete = true;
    }
}

impl Drop for ClientLease<'_> {
    fn drop(&mut self) {
        let mut current = self.owner.lock();
        if !self.is_complete && current.number == self.generation.number {
            *current = Generation { number: current.number + 1, client: h1_client() };
        }
    }
}
