use std::borrow::Cow;
use std::time::Duration;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A length of time, written in JSON with its unit, such as `"580ms"` or `"20s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(Duration);

impl Span {
    /// Makes a span from a number of milliseconds.
    ///
    /// ```
    /// # use ebonyusher::units::Span;
    /// assert_eq!(Span::from_millis(2_000).get().as_secs(), 2);
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the span as a [`Duration`].
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(&humantime::format_duration(self.0))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(de)?;
        humantime::parse_duration(&text).map(Self).map_err(|err| {
            D::Error::custom(format!("expected a duration such as \"20s\", got {text:?}: {err}"))
        })
    }
}

impl JsonSchema for Span {
    fn schema_name() -> Cow<'static, str> {
        "Span".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "A duration with its unit",
            "examples": ["580ms", "20s"]
        })
    }
}
