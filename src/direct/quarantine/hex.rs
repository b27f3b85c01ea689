/// Returns a fingerprint as it is written in the log and in the keys of the table.
pub(in crate::direct) fn hex(fingerprint: u64) -> String {
    format!("{fingerprint:x}")
}
