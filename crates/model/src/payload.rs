//! Owns the opaque JSON of requests and answers.
//!
//! Invariant: a payload is forwarded byte for byte.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::ids::Fingerprint;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// One JSON value, kept as the text in which it arrived; it is validated but
/// never decoded.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Payload {
    text: Box<RawValue>,
}

impl Payload {
    /// Checks that `text` is one JSON value.
    ///
    /// # Errors
    /// The parser's message when it is not.
    pub fn parse(text: &str) -> Result<Payload, serde_json::Error> {
        let text = serde_json::from_str::<Box<RawValue>>(text)?;
        Ok(Payload { text })
    }

    /// The JSON value `null`.
    pub fn null() -> Payload {
        Payload { text: RawValue::NULL.to_owned() }
    }

    /// The JSON text.
    pub fn text(&self) -> &str {
        self.text.get()
    }
}

impl PartialEq for Payload {
    fn eq(&self, other: &Payload) -> bool {
        self.text() == other.text()
    }
}

impl Eq for Payload {}

/// 64-bit FNV-1a hash over `parts`, each followed by a separator byte. It tells
/// resubmitted content from changed content and gives no protection against
/// forgery.
///
/// Source: Fowler, Noll and Vo, "The FNV Non-Cryptographic Hash Algorithm".
pub fn fingerprint<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.iter().chain(std::iter::once(&0xff)) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash
}
