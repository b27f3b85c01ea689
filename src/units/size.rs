use std::borrow::Cow;

use bytesize::ByteSize;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// An amount of memory, written in JSON with its unit, such as `"64KiB"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(ByteSize);

impl Size {
    /// Makes a size from a number of bytes.
    ///
    /// ```
    /// # use ebonyusher::units::Size;
    /// assert_eq!(Size::from_bytes(1_024).bytes(), 1_024);
    /// ```
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(ByteSize(bytes))
    }

    /// Returns the size in bytes.
    pub const fn bytes(self) -> u64 {
        self.0.0
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(&format_args!("{}B", self.bytes()))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(de)?;
        text.parse().map(Self).map_err(|err| {
            D::Error::custom(format!("expected a size such as \"64KiB\", got {text:?}: {err}"))
        })
    }
}

impl JsonSchema for Size {
    fn schema_name() -> Cow<'static, str> {
        "Size".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "An amount of memory with its unit",
            "examples": ["64KiB", "1MiB"]
        })
    }
}
