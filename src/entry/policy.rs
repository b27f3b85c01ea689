use rand::rngs::SmallRng;

/// What a routing policy knows of one upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected number of requests at the upstream per slot.
    pub occupancy: f64,
    /// Requests of this entry in flight at the upstream.
    pub in_flight: u32,
    /// Distance of the failure domain, 0 for the entry's own.
    pub distance: usize,
    /// Whether the upstream is assumed to have cached the request's prompt prefix.
    pub cached: bool,
}

/// A routing policy: chooses among the candidates for a request.
pub trait Policy: Send + Sync + 'static {
    /// Returns the index of the chosen candidate. The list is never empty.
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize;
}
