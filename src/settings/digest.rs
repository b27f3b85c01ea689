use std::borrow::Cow;
use std::fmt;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key, so that settings never hold the key itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// ```
    /// # use ebonyusher::settings::KeyDigest;
    /// assert!(KeyDigest::of("secret").matches(&KeyDigest::of("secret")));
    /// assert!(!KeyDigest::of("secret").matches(&KeyDigest::of("other")));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "KeyDigest({self})")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(de)?;
        decode(&text)
            .map(Self)
            .ok_or_else(|| D::Error::custom("expected 64 hexadecimal digits of a SHA-256 digest"))
    }
}

fn decode(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

impl JsonSchema for KeyDigest {
    fn schema_name() -> Cow<'static, str> {
        "KeyDigest".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "pattern": "^[0-9a-fA-F]{64}$",
            "description": "SHA-256 digest of a key"
        })
    }
}
