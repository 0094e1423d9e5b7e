//! Which endpoints may begin or continue a stream that callers take up.

use {super::StreamOrigin, crate::tables::Endpoint};

/// Returns the endpoints that may continue a stream with this origin, or begin one without.
///
/// An endpoint in doubt may run as another version than the tables show until it announces
/// itself. It continues no stream, and begins one only if there is no other: what it begins
/// counts as begun by the version in the tables.
pub fn resume_filter<'a>(
    origin: Option<&StreamOrigin>,
    endpoints: impl IntoIterator<Item = &'a Endpoint>,
    is_doubted: impl Fn(&Endpoint) -> bool,
) -> Vec<&'a Endpoint> {
    let (doubted, certain): (Vec<&Endpoint>, Vec<&Endpoint>) =
        endpoints.into_iter().partition(|it| is_doubted(it));
    match origin {
        Some(origin) => certain.into_iter().filter(|it| it.version == origin.version).collect(),
        None if certain.is_empty() => doubted,
        None => certain,
    }
}
