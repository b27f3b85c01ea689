use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::{GroupMap, HeldExperts};

/// Size of an expert's number in bytes if all numbers in the map fit.
const NARROW: u8 = 1;
/// Size of an expert's number in bytes otherwise, and of every count.
const WIDE: u8 = 2;

/// Serializes a map as base64 text, less than half as long as its JSON lists, since it is sent to
/// every rank's sidecar over links of low bandwidth.
pub(super) fn serialize<S: Serializer>(map: &GroupMap, ser: S) -> Result<S::Ok, S::Error> {
    STANDARD.encode(pack(map)).serialize(ser)
}

/// Reads the text that [`serialize`] writes.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<GroupMap, D::Error> {
    let text = String::deserialize(de)?;
    let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
    unpack(&bytes).ok_or_else(|| D::Error::custom("a map that is cut short"))
}

/// Encodes a map: the size of an expert's number and the number of sets, then for each set the
/// number of ranks, and for each rank the number of experts and the experts. Numbers are
/// little-endian.
fn pack(map: &GroupMap) -> Vec<u8> {
    let largest = map.sets.iter().flatten().flatten().max().copied().unwrap_or_default();
    let width = if largest <= u16::from(u8::MAX) { NARROW } else { WIDE };
    let mut bytes = vec![width];
    put(&mut bytes, map.sets.len(), WIDE);
    for ranks in &map.sets {
        put(&mut bytes, ranks.len(), WIDE);
        for held in ranks {
            put(&mut bytes, held.len(), WIDE);
            held.iter().for_each(|expert| put(&mut bytes, usize::from(*expert), width));
        }
    }
    bytes
}

fn put(bytes: &mut Vec<u8>, number: usize, width: u8) {
    let number = u16::try_from(number).unwrap_or(u16::MAX).to_le_bytes();
    bytes.extend_from_slice(&number[..usize::from(width)]);
}

fn unpack(bytes: &[u8]) -> Option<GroupMap> {
    let (width, mut rest) = bytes.split_first()?;
    let mut sets = Vec::new();
    for _ in 0..take(&mut rest, WIDE)? {
        let mut ranks = Vec::new();
        for _ in 0..take(&mut rest, WIDE)? {
            let experts = take(&mut rest, WIDE)?;
            let held: Option<HeldExperts> = (0..experts).map(|_| take(&mut rest, *width)).collect();
            ranks.push(held?);
        }
        sets.push(ranks);
    }
    Some(GroupMap { sets })
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
