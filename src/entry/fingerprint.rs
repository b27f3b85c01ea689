use xxhash_rust::xxh3::Xxh3;

/// Returns the fingerprint of a request, a hash of its client account, path and body. It is the
/// same each time that the account sends the request.
///
/// ```
/// # use ebonyusher::entry::fingerprint;
/// assert_eq!(fingerprint("t/a", "/p", b"x"), fingerprint("t/a", "/p", b"x"));
/// assert_ne!(fingerprint("t/a", "/p", b"x"), fingerprint("t/b", "/p", b"x"));
/// ```
pub fn fingerprint(account: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [account.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
