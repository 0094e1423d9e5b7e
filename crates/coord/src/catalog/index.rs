//! Finds the route of a request.

use {
    super::Catalog,
    std::{cmp::Reverse, collections::HashMap},
};

/// The routes of one catalog by host, the longest prefix first.
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Positions in the catalog's list of routes.
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl RouteIndex {
    /// Indexes the routes of a catalog.
    pub fn new(catalog: &Catalog) -> Self {
        let mut hosts: HashMap<String, Vec<(String, usize)>> = HashMap::new();
        for (at, route) in catalog.routes.iter().enumerate() {
            let rows = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            rows.push((route.prefix.clone(), at));
        }
        for rows in hosts.values_mut() {
            rows.sort_by_key(|(prefix, _)| Reverse(prefix.len()));
        }
        Self { hosts }
    }

    /// The position of the route with the longest prefix of `path` at `host`,
    /// which may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let rows = self.hosts.get(&name)?;
        rows.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, at)| *at)
    }
}
