use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Shape;

/// Max difference between one and the sum of an expert's shares, to allow for rounding.
const SHARE_TOLERANCE: f32 = 1e-3;

/// Experts that each rank holds in one layer, and the share of an expert's tokens that each of its
/// places takes. A place is a slot of a rank.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LayerMap {
    slots: usize,
    held: Vec<u16>,
    shares: Vec<f32>,
}

/// Why a layer's map can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum MapError {
    /// the map has {0} places, the group has another number
    Places(usize),
    /// expert {0} has no place
    Unplaced(usize),
    /// rank {0} holds an expert twice or one that does not exist
    Rank(usize),
    /// the shares of expert {0} do not add up to one
    Shares(usize),
}

impl LayerMap {
    /// The map that every group starts from: slot `k` of rank `r` holds expert
    /// `(r * slots + k) % experts`, and the places of an expert share its tokens evenly.
    ///
    /// ```
    /// # use ebonyusher::group::{LayerMap, Shape};
    /// let shape = Shape { ranks: 4, experts: 6, slots: 2, layers: 1, expert_bytes: 1 };
    /// assert_eq!(LayerMap::initial(&shape).held(3), [0, 1]);
    /// ```
    pub fn initial(shape: &Shape) -> Self {
        let places = shape.ranks * shape.slots;
        let held = (0..places).map(|place| (place % shape.experts) as u16).collect();
        Self::even(shape.slots, held, shape.experts)
    }

    /// A map in which the places of an expert share its tokens evenly.
    pub fn even(slots: usize, held: Vec<u16>, experts: usize) -> Self {
        let mut places = vec![0_u32; experts];
        held.iter().for_each(|expert| places[usize::from(*expert)] += 1);
        let shares = held.iter().map(|expert| 1.0 / places[usize::from(*expert)] as f32).collect();
        Self { slots, held, shares }
    }

    /// A map with given shares.
    pub const fn with_shares(slots: usize, held: Vec<u16>, shares: Vec<f32>) -> Self {
        Self { slots, held, shares }
    }

    /// Experts that a rank holds.
    pub fn held(&self, rank: usize) -> &[u16] {
        &self.held[rank * self.slots..(rank + 1) * self.slots]
    }

    /// Shares of their experts' tokens that a rank's slots take.
    pub fn shares(&self, rank: usize) -> &[f32] {
        &self.shares[rank * self.slots..(rank + 1) * self.slots]
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.held.len() / self.slots
    }

    /// Load of each rank, given the tokens of each expert.
    pub fn loads(&self, tokens: &[f64]) -> Vec<f64> {
        let load = |rank: usize| {
            let places = self.held(rank).iter().zip(self.shares(rank));
            places.map(|(expert, share)| tokens[usize::from(*expert)] * f64::from(*share)).sum()
        };
        (0..self.ranks()).map(load).collect()
    }

    /// Number of experts that ranks must fetch to switch from another map to this one.
    pub fn fetches_from(&self, other: &Self) -> usize {
        let fetched = |rank: usize| {
            self.held(rank).iter().filter(|expert| !other.held(rank).contains(expert)).count()
        };
        (0..self.ranks()).map(fetched).sum()
    }

    /// Checks that the map has the group's sizes, every expert has a place, no rank holds an expert
    /// twice, and the shares of each expert add up to one.
    ///
    /// # Errors
    /// [`MapError`] for the first error found.
    pub fn check(&self, shape: &Shape) -> Result<(), MapError> {
        let places = shape.ranks * shape.slots;
        if self.slots != shape.slots || self.held.len() != places || self.shares.len() != places {
            return Err(MapError::Places(self.held.len()));
        }
        let mut sums = vec![0.0; shape.experts];
        for rank in 0..shape.ranks {
            let held = self.held(rank);
            for (at, expert) in held.iter().enumerate() {
                let known = usize::from(*expert) < shape.experts;
                if !known || held[..at].contains(expert) {
                    return Err(MapError::Rank(rank));
                }
                sums[usize::from(*expert)] += self.shares(rank)[at];
            }
        }
        for (expert, sum) in sums.iter().enumerate() {
            if !self.held.iter().any(|held| usize::from(*held) == expert) {
                return Err(MapError::Unplaced(expert));
            }
            if (sum - 1.0).abs() > SHARE_TOLERANCE {
                return Err(MapError::Shares(expert));
            }
        }
        Ok(())
    }
}
