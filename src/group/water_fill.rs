use smallvec::SmallVec;

/// A rank that can take part of an expert's tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateRank {
    /// Load of the rank without the expert.
    pub(super) base_load: f64,
    /// Speed of the rank: load per unit of time.
    pub(super) speed: f64,
}

/// Parts of an expert's tokens, by candidate rank.
pub(super) type Parts = SmallVec<[f64; 16]>;

/// Splits tokens over candidate ranks by water filling: ranks that get any finish at the same time,
/// and no rank that gets none would finish earlier.
pub(super) fn water_fill(candidates: &[CandidateRank], tokens: f64) -> Parts {
    let mut by_time: SmallVec<[usize; 16]> = (0..candidates.len()).collect();
    let time_alone = |at: usize| candidates[at].base_load / candidates[at].speed;
    by_time.sort_unstable_by(|left, right| time_alone(*left).total_cmp(&time_alone(*right)));
    let (mut load, mut speed, mut time) = (0.0, 0.0, f64::INFINITY);
    for at in by_time {
        if time_alone(at) >= time {
            break;
        }
        load += candidates[at].base_load;
        speed += candidates[at].speed;
        time = (tokens + load) / speed;
    }
    candidates
        .iter()
        .map(|candidate| (time * candidate.speed - candidate.base_load).max(0.0))
        .collect()
}
