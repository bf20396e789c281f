//! Hashing and constant-time comparison of team keys.
//!
//! Invariant: a plaintext key exists only in the caller's request and in the
//! response to the grant that created it. Only hashes are stored or logged.

use compact_str::{CompactString, format_compact};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest in lower-case hexadecimal.
pub type Hash = CompactString;

/// Hashes a plaintext team key.
#[must_use]
pub fn hash(key: &str) -> Hash {
    sha256_hex(key.as_bytes())
}

/// Returns the SHA-256 digest of `bytes` in hexadecimal.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> Hash {
    hex(&Sha256::digest(bytes))
}

/// Hashes `parts`, each prefixed with its length so that different splits of
/// the same text differ. Used for ids that are derived from caller input.
#[must_use]
pub fn fingerprint(parts: &[&str]) -> Hash {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    hex(&digest.finalize())
}

/// Compares two hashes in time that depends on their lengths only.
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
