use smallvec::SmallVec;

use crate::direct::Candidate;

/// What an entry has learned of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Work of this entry in flight, in usual requests.
    pub work: f64,
    /// How many times slower than the others the upstream is.
    pub slowness: f64,
    /// Additional load in slow start, as a share of the mean load.
    pub start_share: f64,
}

impl Rating {
    /// Returns the rating of an upstream of which nothing is learned.
    pub fn unknown(own: u32) -> Self {
        Self { work: f64::from(own), slowness: 1.0, start_share: 0.0 }
    }
}

/// Returns the load at each upstream at which a request would complete, in usual requests at the
/// usual speed: the loads by which [`choose`](crate::direct::choose) chooses.
///
/// ```
/// # use ebonyusher::capacity::{Rating, expected_loads};
/// # use ebonyusher::direct::Candidate;
/// let idle = Candidate { own: 0, others: None, avoid_until: None };
/// let slow = Rating { slowness: 4.0, ..Rating::unknown(0) };
/// let expected = expected_loads(&[idle, idle], &[2.0, 1.0], &[Rating::unknown(0), slow], 1.0);
/// assert_eq!(expected[..], [3.0, 8.0]);
/// ```
pub fn expected_loads(
    candidates: &[Candidate],
    loads: &[f64],
    ratings: &[Rating],
    work: f64,
) -> SmallVec<[f64; 16]> {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let upstreams = candidates.iter().zip(loads).zip(ratings);
    upstreams
        .map(|((candidate, load), rating)| {
            let others = load - f64::from(candidate.own);
            (others + rating.work + rating.start_share * mean + work) * rating.slowness
        })
        .collect()
}
