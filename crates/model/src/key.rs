//! Team key hashing and constant-time comparison.
//!
//! Invariant: a plain key exists only in the caller's request and in the
//! answer to the grant that made it; everything kept or logged is a hash.

use compact_str::{CompactString, format_compact};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Hex SHA-256 of a team key.
pub type Hash = CompactString;

/// Hashes a plain key.
#[must_use]
pub fn hash(key: &str) -> Hash {
    sha256_hex(key.as_bytes())
}

/// Hex SHA-256 of any bytes.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> Hash {
    hex(&Sha256::digest(bytes))
}

/// Hashes `parts` with separators, for ids derived from caller input.
#[must_use]
pub fn fingerprint(parts: &[&str]) -> Hash {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    hex(&digest.finalize())
}

/// Compares two hashes in time that depends on their length only.
#[must_use]
pub fn constant_time_eq(a: &Hash, b: &Hash) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

fn hex(bytes: &[u8]) -> Hash {
    let mut out = Hash::default();
    for byte in bytes {
        out.push_str(&format_compact!("{byte:02x}"));
    }
    out
}
