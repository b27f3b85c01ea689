use rand::rngs::SmallRng;

/// What a routing policy sees of one candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests expected at the upstream now, over its slots.
    pub occupancy: f64,
    /// This entry's own requests in flight there.
    pub in_flight: u32,
    /// Distance of the failure domain, 0 for the entry's own.
    pub distance: usize,
    /// Whether the request's prompt prefix is believed to be cached there.
    pub cached: bool,
}

/// Chooses among the candidates for a request.
pub trait Policy: Send + Sync + 'static {
    /// Position of the chosen one; the list is never empty.
    fn choose(&self, candidates: &[Candidate], rng: &mut SmallRng) -> usize;
}
