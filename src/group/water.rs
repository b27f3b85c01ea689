use smallvec::SmallVec;

/// A rank that may take part of an expert's tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vessel {
    /// Load of the rank without this expert.
    pub(super) base: f64,
    /// Speed of the rank.
    pub(super) speed: f64,
}

/// Parts of an expert's tokens, by vessel.
pub(super) type Parts = SmallVec<[f64; 16]>;

/// Splits tokens over ranks so that those that get any end at the same time, and no rank that
/// gets none would end earlier.
pub(super) fn fill(vessels: &[Vessel], tokens: f64) -> Parts {
    let mut order: SmallVec<[usize; 16]> = (0..vessels.len()).collect();
    let level = |at: usize| vessels[at].base / vessels[at].speed;
    order.sort_unstable_by(|left, right| level(*left).total_cmp(&level(*right)));
    let (mut base, mut speed, mut height) = (0.0, 0.0, f64::INFINITY);
    for at in order {
        if level(at) >= height {
            break;
        }
        base += vessels[at].base;
        speed += vessels[at].speed;
        height = (tokens + base) / speed;
    }
    vessels.iter().map(|vessel| (height * vessel.speed - vessel.base).max(0.0)).collect()
}
