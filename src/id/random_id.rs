/// Defines a random 64-bit identifier that is written as 16 hexadecimal digits.
macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(u64);

        impl $name {
            /// Generates a new id.
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Creates an id from a number.
            pub const fn from_raw(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the id as a number.
            pub const fn raw(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(out, "{:016x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

pub(super) use random_id;
