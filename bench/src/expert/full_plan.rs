use ebonyusher::group::{LayerMap, Shape};

/// Speeds that differ by less than this are treated as equal when ranks are matched.
const SAME_SPEED: f64 = 0.02;

/// Plans a layer from scratch: chooses the number of replicas of each expert, then assigns replicas
/// to ranks by longest processing time first. The replicas of an expert share its tokens evenly.
pub fn plan_layer(shape: &Shape, tokens: &[f64], speeds: &[f64]) -> LayerMap {
    let counts = replicas(shape, tokens);
    let mut items: Vec<(usize, f64)> = Vec::with_capacity(shape.ranks * shape.slots);
    for (expert, count) in counts.iter().enumerate() {
        let share = tokens[expert] / *count as f64;
        items.extend((0..*count).map(|_| (expert, share)));
    }
    items.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut held: Vec<Vec<u16>> = vec![Vec::with_capacity(shape.slots); shape.ranks];
    let mut loads = vec![0.0; shape.ranks];
    for (expert, share) in items {
        let free = |rank: &usize| {
            held[*rank].len() < shape.slots && !held[*rank].contains(&(expert as u16))
        };
        let finish_time = |rank: &usize| (loads[*rank] + share) / speeds[*rank];
        let rank = (0..shape.ranks)
            .filter(free)
            .min_by(|left, right| finish_time(left).total_cmp(&finish_time(right)));
        match rank {
            Some(rank) => {
                held[rank].push(expert as u16);
                loads[rank] += share;
            }
            None => swap_in(&mut held, shape.slots, expert as u16),
        }
    }
    LayerMap::even(shape.slots, held.concat(), shape.experts)
}

/// Returns the number of replicas of each expert. Each free slot goes to the expert with the most
/// tokens per replica.
fn replicas(shape: &Shape, tokens: &[f64]) -> Vec<usize> {
    let mut counts = vec![1; shape.experts];
    for _ in shape.experts..shape.ranks * shape.slots {
        let share = |expert: &usize| tokens[*expert] / counts[*expert] as f64;
        let open = (0..shape.experts).filter(|expert| counts[*expert] < shape.ranks);
        let busiest = open.max_by(|left, right| share(left).total_cmp(&share(right)));
        if let Some(expert) = busiest {
            counts[expert] += 1;
        }
    }
    counts
}

/// Places an expert that all ranks with a free slot already hold: another rank takes it and hands
/// one of its experts to a rank with a free slot.
fn swap_in(held: &mut [Vec<u16>], slots: usize, expert: u16) {
    let Some(open) = held.iter().position(|held| held.len() < slots) else {
        return;
    };
    let found = (0..held.len()).filter(|rank| !held[*rank].contains(&expert)).find_map(|rank| {
        let slot = held[rank].iter().position(|other| !held[open].contains(other))?;
        Some((rank, slot))
    });
    if let Some((rank, slot)) = found {
        let other = std::mem::replace(&mut held[rank][slot], expert);
        held[open].push(other);
    }
}

/// Permutes ranks of equal speed in a new map, greedily, so that they keep many of the experts that
/// they hold.
pub fn match_ranks(shape: &Shape, current: &LayerMap, new: &LayerMap, speeds: &[f64]) -> LayerMap {
    let mut pairs: Vec<(usize, usize, usize)> = Vec::new();
    for rank in 0..shape.ranks {
        for other in 0..shape.ranks {
            let same = (speeds[rank] - speeds[other]).abs() < SAME_SPEED;
            let kept = new.held(rank).iter().filter(|held| current.held(other).contains(held));
            let kept = kept.count();
            if same {
                pairs.push((kept, rank, other));
            }
        }
    }
    pairs.sort_by_key(|(kept, rank, _)| (std::cmp::Reverse(*kept), *rank));
    let mut targets: Vec<Option<usize>> = vec![None; shape.ranks];
    let mut assigned = vec![false; shape.ranks];
    for (_, rank, other) in pairs {
        if targets[rank].is_none() && !assigned[other] {
            targets[rank] = Some(other);
            assigned[other] = true;
        }
    }
    let mut held = vec![0_u16; shape.ranks * shape.slots];
    for (rank, other) in targets.iter().enumerate() {
        let other = other.unwrap_or(rank);
        held[other * shape.slots..(other + 1) * shape.slots].copy_from_slice(new.held(rank));
    }
    LayerMap::even(shape.slots, held, shape.experts)
}
