//! Small `Copy` identifiers that are valid across daemons.
//!
//! ```
//! use kelpworks_coord::id::NodeId;
//!
//! assert_eq!(NodeId::of("alm-entry-1"), NodeId::of("alm-entry-1"));
//! assert_ne!(NodeId::of("alm-entry-1"), NodeId::of("alm-entry-2"));
//! ```
//!
//! A name's identifier is its 64-bit hash. Two of 1,000 names collide with a probability of about
//! 3e-14; the drivers refuse a host list in which two do.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A daemon, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Hashes a daemon's name.
    pub fn of(name: &str) -> NodeId {
        NodeId(xxh3_64(name.as_bytes()))
    }
}

/// An upstream, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamId(pub u64);

impl UpstreamId {
    /// Hashes an upstream's name.
    pub fn of(name: &str) -> UpstreamId {
        UpstreamId(xxh3_64(name.as_bytes()))
    }
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the part with this id: the number that it is in hexadecimal, so that it is displayed as it was
    /// named, or else a hash of the text.
    pub fn of(id: &str) -> PartId {
        let is_number = !id.starts_with('+');
        let number = u64::from_str_radix(id, 16).ok().filter(|_| is_number);
        PartId(number.unwrap_or_else(|| xxh3_64(id.as_bytes())))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A failure domain, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct DomainId(pub u64);

impl DomainId {
    /// Hashes a failure domain's name.
    pub fn of(name: &str) -> DomainId {
        DomainId(xxh3_64(name.as_bytes()))
    }
}

/// Number of a run of a process: higher for a later run of the same daemon or engine.
///
/// A daemon also raises its own incarnation to refute a report of its death, see
/// [`crate::membership`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A random number by which a writer recognizes its own write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// Era of the object API's history: rises by one each time that the API is restored from an older
/// copy. An API that reports no era is always in the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Era(pub u64);

impl Era {
    /// The first era.
    pub const FIRST: Era = Era(0);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Point in the object API's history: the version of an object, or of all objects of a kind.
///
/// Versions are ordered by era first, because an API that was restored from an older copy assigns
/// the revisions after that copy a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Version {
    /// Era in which it was assigned.
    #[serde(default)]
    pub era: Era,
    /// Increases with each change within an era; 0 for an object that does not exist.
    pub revision: u64,
}

impl Version {
    /// Version of an object that does not exist, as the condition of a create in the first era.
    pub const ABSENT: Version = Version::initial(0);

    /// Creates a version of any era.
    pub const fn new(era: Era, revision: u64) -> Version {
        Version { era, revision }
    }

    /// Creates a version of the first era.
    pub const fn initial(revision: u64) -> Version {
        Version::new(Era::FIRST, revision)
    }

    /// Returns the version of an object that does not exist, in an era.
    pub const fn absent(era: Era) -> Version {
        Version::new(era, 0)
    }

    /// Returns whether this is the version of an object that does not exist.
    pub const fn is_absent(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// SHA-256 digest of an immutable object; also its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> std::result::Result<Digest, hex::FromHexError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Digest(bytes))
    }
}
