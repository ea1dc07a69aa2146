//! Idempotency keys of requests, and the identity of a claim: team, target, key and request.

use salvo::http::HeaderMap;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

/// Request header that carries the idempotency key.
pub const HEADER: &str = "idempotency-key";
/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Result of reading a key.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a key is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The request has more than one key.
    #[error("there is more than one idempotency-key")]
    Repeated,
    /// The key is empty, longer than [`MAX_KEY_BYTES`], or not printable ASCII.
    #[error("an idempotency-key has 1 to {MAX_KEY_BYTES} printable ASCII characters")]
    Malformed,
}

/// Returns the idempotency key in a request's headers, or `None` when there is none.
///
/// # Errors
///
/// When there is more than one key, or it is empty, too long or not printable ASCII.
pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Option<String>> {
    let mut values = headers.get_all(HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Error::Repeated);
    }
    let bytes = value.as_bytes();
    let printable = bytes.iter().all(|b| (b' '..=b'~').contains(b));
    if bytes.is_empty() || bytes.len() > MAX_KEY_BYTES || !printable {
        return Err(Error::Malformed);
    }
    Ok(Some(String::from_utf8_lossy(bytes).into_owned()))
}

/// Identity of the claim of a call.
///
/// The name is a digest that includes the team, so that equal keys of two teams denote different
/// claims, and the object API stores neither teams nor keys in clear text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// Name of the claim object: SHA-256 in hex.
    pub(super) name: String,
    /// Digest of the request; reuse of the key for a different request is rejected.
    pub(super) digest: u64,
}

impl ClaimKey {
    /// Creates the identity of the claim of `team`'s call of `target` (service or model, method,
    /// path) under `key`. `request` is what a retry must send unchanged.
    pub fn new(team: &str, target: &str, key: &str, request: &[u8]) -> ClaimKey {
        let mut name = Sha256::new();
        for part in [team, target, key] {
            // The length prefix makes the concatenation unambiguous.
            name.update((part.len() as u64).to_be_bytes());
            name.update(part);
        }
        let digest = Sha256::digest(request);
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        ClaimKey {
            name: hex::encode(name.finalize()),
            digest: u64::from_be_bytes(first),
        }
    }

    /// Returns the name of the claim object. It may be sent to an upstream as the call's
    /// idempotency key: it is the same for all submissions, and differs between teams.
    pub fn name(&self) -> &str {
        &self.name
    }
}
