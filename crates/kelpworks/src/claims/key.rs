//! What a claim is about: the team, the call, the caller's key and the request.

use salvo::http::HeaderMap;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

/// Header with the caller's key.
pub const HEADER: &str = "idempotency-key";
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The result of reading a key.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a key can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// More than one.
    #[error("there is more than one idempotency-key")]
    Repeated,
    /// Empty, too long, or not printable ASCII.
    #[error("an idempotency-key has 1 to {MAX_KEY_BYTES} printable ASCII characters")]
    Malformed,
}

/// The caller's key in a request's headers, if there is one.
///
/// # Errors
///
/// When there are two, or it is empty, too long or not printable ASCII.
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

/// Names the claim of a call.
///
/// The name is a digest over the team too, so a key of another team is another claim, and the
/// object API holds neither teams nor keys in the clear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// Name of the claim object: SHA-256 in hex.
    pub(super) name: String,
    /// Of the request; a key may not be used for another one.
    pub(super) digest: u64,
}

impl ClaimKey {
    /// The claim of `team`'s call of `target` (service or model, method, path) under `key`;
    /// `request` is what a repeat must not change.
    pub fn new(team: &str, target: &str, key: &str, request: &[u8]) -> ClaimKey {
        let mut name = Sha256::new();
        for part in [team, target, key] {
            // With the length in front, no two lists of parts read the same.
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

    /// Name of the claim object. An upstream may be given it as the call's key: it is the same for
    /// all submissions, and differs between teams.
    pub fn name(&self) -> &str {
        &self.name
    }
}
