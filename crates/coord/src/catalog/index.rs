//! Looks up the route of a request by host and path.

use {
    super::Catalog,
    std::{cmp::Reverse, collections::HashMap},
};

/// The routes of a catalog by host, longest prefix first.
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Prefixes and positions in the catalog's list of routes, by lower-case host
    /// name.
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl RouteIndex {
    /// Indexes the routes of a catalog.
    pub fn new(catalog: &Catalog) -> Self {
        let mut hosts: HashMap<String, Vec<(String, usize)>> = HashMap::new();
        for (position, route) in catalog.routes.iter().enumerate() {
            let rows = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            rows.push((route.prefix.clone(), position));
        }
        for rows in hosts.values_mut() {
            rows.sort_by_key(|(prefix, _)| Reverse(prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the position of the route of `host` with the longest prefix of
    /// `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let rows = self.hosts.get(&name)?;
        rows.iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()))
            .map(|(_, position)| *position)
    }
}
