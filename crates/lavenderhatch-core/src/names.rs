//! Validated names. A name consists of 1 to 63 of the characters `a-z`, `0-9` and `-`.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns the reason why `text` is not a valid name, or `None` if it is valid.
pub fn invalid_name_reason(text: &str) -> Option<&'static str> {
    if text.is_empty() {
        return Some("is empty");
    }
    if text.len() > MAX_NAME_BYTES {
        return Some("is longer than 63 bytes");
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !text.chars().all(allowed) {
        return Some("has characters other than a-z, 0-9 and -");
    }
    None
}

/// Error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("name {text:?} {reason}")]
pub struct NameError {
    /// The rejected text, truncated to 80 characters.
    pub text: String,
    /// Why the text is not a valid name.
    pub reason: &'static str,
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(
            /// Invariant: `invalid_name_reason` returns `None` for the text.
            Arc<str>,
        );

        impl $name {
            /// Creates a name if `text` is a valid name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                match invalid_name_reason(text) {
                    None => Ok(Self(text.into())),
                    Some(reason) => {
                        let text = text.chars().take(80).collect();
                        Err(NameError { text, reason })
                    }
                }
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// Name of a backend server and of its daemon.
    NodeId
);
name_type!(
    /// Name of an availability zone.
    Zone
);
name_type!(
    /// Name of a region, which holds one or more availability zones.
    Region
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of a route.
    RouteName
);
name_type!(
    /// Name of a rank of work.
    RankName
);
name_type!(
    /// Name of a planned stop.
    StopName
);
