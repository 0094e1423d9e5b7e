//! How instances know a request that one of them hands to another.

use {
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    sha2::{Digest, Sha256},
};

/// Marks a request that another instance hands over; its value shows that it comes from
/// one.
pub const HANDED_OVER: HeaderName = HeaderName::from_static("mangobend-handed-over");

/// The value of the header by which instances of one system know each other.
pub fn hand_over_mark(secret: &str) -> HeaderValue {
    let digest = Sha256::digest([b"hand over ", secret.as_bytes()].concat());
    let text: String = digest.iter().map(|it| format!("{it:02x}")).collect();
    HeaderValue::from_str(&text).expect("hexadecimal digits are valid")
}

/// Whether another instance has handed a request over.
pub fn is_handed_over(headers: &HeaderMap, mark: &HeaderValue) -> bool {
    headers.get(&HANDED_OVER) == Some(mark)
}
