use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::map_update::RankChange;
use super::{GroupMap, HeldExperts, SharedMap};

/// Size of an expert's number in bytes if all numbers in the map fit.
const NARROW: u8 = 1;
/// Size of an expert's number in bytes otherwise, and of every count.
const WIDE: u8 = 2;

/// Serializes a map as base64 text, less than half as long as its JSON lists, since it is sent to
/// every rank's sidecar over links of low bandwidth.
pub(super) fn serialize<S: Serializer>(map: &SharedMap, ser: S) -> Result<S::Ok, S::Error> {
    STANDARD.encode(pack(map)).serialize(ser)
}

/// Reads the text that [`serialize`] writes.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<SharedMap, D::Error> {
    let text = String::deserialize(de)?;
    let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
    let map = unpack(&bytes).ok_or_else(|| D::Error::custom("a map that is cut short"))?;
    Ok(map.into())
}

/// Encodes a map: the size of an expert's number and the number of sets, then for each set the
/// number of ranks, and for each rank its experts. Numbers are little-endian.
pub(super) fn pack(map: &GroupMap) -> Vec<u8> {
    let width = width_of(map.sets.iter().flatten());
    let mut bytes = vec![width];
    put(&mut bytes, map.sets.len(), WIDE);
    for ranks in &map.sets {
        put(&mut bytes, ranks.len(), WIDE);
        ranks.iter().for_each(|held| put_held(&mut bytes, held, width));
    }
    bytes
}

fn unpack(bytes: &[u8]) -> Option<GroupMap> {
    let (width, mut rest) = bytes.split_first()?;
    let mut sets = Vec::new();
    for _ in 0..take(&mut rest, WIDE)? {
        let ranks = take(&mut rest, WIDE)?;
        let ranks: Option<Vec<_>> = (0..ranks).map(|_| take_held(&mut rest, *width)).collect();
        sets.push(ranks?);
    }
    Some(GroupMap { sets })
}

/// Encodes changes of a map, set by set, like a map, but with the number of a rank before its experts, and as
/// base64 text.
pub(super) fn pack_changes(changes: &[Vec<RankChange>]) -> String {
    let width = width_of(changes.iter().flatten().map(|change| &change.held));
    let mut bytes = vec![width];
    put(&mut bytes, changes.len(), WIDE);
    for ranks in changes {
        put(&mut bytes, ranks.len(), WIDE);
        for RankChange { rank, held } in ranks {
            put(&mut bytes, usize::from(*rank), WIDE);
            put_held(&mut bytes, held, width);
        }
    }
    STANDARD.encode(bytes)
}

/// Reads the text that [`pack_changes`] writes.
pub(super) fn unpack_changes(text: &str) -> Option<Vec<Vec<RankChange>>> {
    let bytes = STANDARD.decode(text).ok()?;
    let (width, mut rest) = bytes.split_first()?;
    let mut sets = Vec::new();
    for _ in 0..take(&mut rest, WIDE)? {
        let ranks = take(&mut rest, WIDE)?;
        let mut change = || {
            let rank = take(&mut rest, WIDE)?;
            Some(RankChange { rank, held: take_held(&mut rest, *width)? })
        };
        let ranks: Option<Vec<_>> = (0..ranks).map(|_| change()).collect();
        sets.push(ranks?);
    }
    Some(sets)
}

fn width_of<'a>(held: impl Iterator<Item = &'a HeldExperts>) -> u8 {
    let largest = held.flatten().max().copied().unwrap_or_default();
    if largest <= u16::from(u8::MAX) { NARROW } else { WIDE }
}

fn put_held(bytes: &mut Vec<u8>, held: &HeldExperts, width: u8) {
    put(bytes, held.len(), WIDE);
    held.iter().for_each(|expert| put(bytes, usize::from(*expert), width));
}

fn take_held(rest: &mut &[u8], width: u8) -> Option<HeldExperts> {
    let experts = take(rest, WIDE)?;
    (0..experts).map(|_| take(rest, width)).collect()
}

fn put(bytes: &mut Vec<u8>, number: usize, width: u8) {
    let number = u16::try_from(number).unwrap_or(u16::MAX).to_le_bytes();
    bytes.extend_from_slice(&number[..usize::from(width)]);
}

fn take(rest: &mut &[u8], width: u8) -> Option<u16> {
    let (number, after) = rest.split_at_checked(usize::from(width))?;
    *rest = after;
    match *number {
        [low] => Some(u16::from(low)),
        [low, high] => Some(u16::from_le_bytes([low, high])),
        _ => None,
    }
}
