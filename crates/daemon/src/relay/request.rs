//! A caller's request, parsed from its head, and the request to an endpoint
//! made from it.

use {
    super::{
        Handle, HeaderNames,
        hand_over_mark::HANDED_OVER,
        record::log_withheld,
        response::{Denial, is_hop_by_hop},
        view::View,
    },
    coord::{
        catalog::{ApiKey, RelayRoute},
        claims::RequestDigest,
        ids::{DomainName, PoolName, TeamName},
        relay::preferred_domain,
        streams::{StreamId, StreamOrigin},
        tables::{Endpoint, Suspect},
        time::Millis,
    },
    http_body_util::Full,
    hyper::{
        HeaderMap, Request, Uri,
        body::Bytes,
        header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
        http::request::Parts,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Subtracted from the remaining time sent to an endpoint, so that the response
/// can still reach the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Maximum number of shared prompt parts that are looked at.
const MAX_PARTS: usize = 16;

/// What a caller says of the stream that it takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the attempt that brought the first event; `None` if it isn't named.
    pub first_attempt: Option<String>,
    /// Id of the last event that the caller has.
    pub last_event: String,
}

/// A valid request with its route.
pub struct RelayRequest {
    /// Id of the caller's attempt.
    pub id: String,
    pub route: RelayRoute,
    pub pool: PoolName,
    pub team: Option<TeamName>,
    /// 0 is the most urgent.
    pub priority: u8,
    pub received: Instant,
    /// When the response is due to meet the route's latency target; for a stream,
    /// its first event.
    pub target: Instant,
    /// When the caller must have its final response.
    pub deadline: Instant,
    /// What endpoints may crash under: the parts of the prompt that other requests may
    /// share, all but the last.
    pub parts: Vec<Suspect>,
    /// Key shared by requests that have a cached prompt prefix in common.
    pub affinity: Option<Vec<u8>>,
    /// The preferred failure domain of its stages and then of the request.
    pub preferred_domain: Option<DomainName>,
    /// All parts of the prompt, as the caller sent them.
    pub prompt: Option<HeaderValue>,
    /// The number of pieces of each stage.
    pub piece_counts: Vec<u32>,
    /// The caller's source, the input of stages that follow no other.
    pub source: String,
    /// Set if the request takes up a stream that broke off.
    pub resumption: Option<Resumption>,
    /// Id of the stream that the request begins or takes up; `None` if it isn't known.
    pub stream_id: Option<StreamId>,
    /// Whether another instance has handed the request over.
    pub handed: bool,
    /// Where it comes from, for the log.
    pub client: Option<SocketAddr>,
    /// What the stream came from that the request takes up. Only the same goes on with it.
    pub origin: Option<StreamOrigin>,
    head: Parts,
}

impl RelayRequest {
    /// Parses and authenticates a request head and picks the pool.
    ///
    /// # Errors
    /// The request can't be relayed and has not run.
    pub fn parse(
        view: &View,
        names: &HeaderNames,
        head: Parts,
        received: Instant,
    ) -> Result<Self, Denial> {
        if !view.has_catalog() {
            return Err(Denial::NoCatalog);
        }
        let at = view.route(host(&head), head.uri.path()).ok_or(Denial::NoRoute)?;
        let route = view.catalog().routes[at].clone();
        let (team, priority) = authenticate(view, names, &head, &route)?;
        let id = header_text(&head, &names.request).filter(|it| !it.is_empty());
        let id = id.ok_or(Denial::Malformed)?.to_owned();
        let timeout = match header_text(&head, &names.deadline) {
            Some(it) => Millis(it.trim().parse().map_err(|_| Denial::Malformed)?),
            None => route.timeout,
        };
        let piece_counts = piece_counts(&head, names, &route)?;
        let pool = route.pick(rand::random()).ok_or(Denial::NoRoute)?.clone();
        let parts = shared_parts(&head, names);
        if let Some(it) = view.withheld_for(&pool, &parts) {
            log_withheld(&id, &pool, it);
            return Err(Denial::Withheld);
        }
        let affinity = route.sticky.then(|| affinity(&head, names)).flatten();
        let preferred_domain =
            choose_domain(view, &route, &pool, affinity.as_deref().unwrap_or(id.as_bytes()));
        let resumption = resumption(&head, names, &route);
        let first_attempt = first_attempt(&resumption, &id);
        Ok(Self {
            stream_id: first_attempt.map(|it| StreamId::new(team.as_ref(), it)),
            pool,
            team,
            priority: priority.unwrap_or(route.priority),
            received,
            target: received + Duration::from_millis(route.latency_target.0),
            deadline: received + Duration::from_millis(timeout.min(route.timeout).0),
            parts,
            affinity,
            preferred_domain,
            prompt: head.headers.get(&names.parts).cloned(),
            piece_counts,
            source: header_text(&head, &names.source).unwrap_or_default().to_owned(),
            resumption,
            handed: false,
            client: None,
            origin: None,
            route,
            id,
            head,
        })
    }

    /// Restricts the request to what the stream came from that it takes up. Returns false if
    /// its route doesn't lead there any more.
    pub fn bind(&mut self, origin: StreamOrigin) -> bool {
        let leads = self.route.split.iter().any(|it| it.pool == origin.pool && it.weight > 0);
        self.pool = origin.pool.clone();
        self.origin = Some(origin);
        leads
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the digest of what an endpoint is sent of the request: by whom, where, the
    /// prompt as its header states it, and the body. A request that comes again has the same.
    pub fn digest(&self, body: &[u8]) -> RequestDigest {
        let path = self.head.uri.path_and_query().map_or("/", |it| it.as_str());
        let team = self.team.as_ref().map_or("", |it| it.as_str());
        let prompt = self.prompt.as_ref().map(HeaderValue::as_bytes);
        let [method, host, path, team] =
            [self.head.method.as_str(), host(&self.head), path, team].map(str::as_bytes);
        let fields = [method, host, path, team, body];
        // Without a prompt it is that of earlier builds.
        let fields: Vec<&[u8]> = fields.into_iter().chain(prompt).collect();
        RequestDigest::of_fields(&fields)
    }

    /// Builds the request to another instance: the caller's own with the time that is left.
    pub fn handed_over(
        &self,
        names: &HeaderNames,
        mark: HeaderValue,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let options = connection_options(&self.head.headers);
        let mut request = Request::new(Full::new(body));
        for (name, value) in &self.head.headers {
            if !is_hop_by_hop(name) && !options.contains(name) && name != CONTENT_LENGTH {
                request.headers_mut().append(name.clone(), value.clone());
            }
        }
        let remaining = self.remaining().saturating_sub(RESPONSE_MARGIN).as_millis().max(1);
        insert(request.headers_mut(), &names.deadline, &remaining.to_string());
        insert(request.headers_mut(), &HOST, host(&self.head));
        request.headers_mut().insert(HANDED_OVER, mark);
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().map_or("/", |it| it.as_str());
        *request.uri_mut() = path.parse::<Uri>().expect("the path of a valid URI is valid");
        request
    }

    /// Builds the request to an endpoint: the caller's own without hop-by-hop
    /// and reserved headers, plus the headers that the relay sets.
    pub fn outgoing(
        &self,
        names: &HeaderNames,
        endpoint: &str,
        inputs: &[Handle],
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut headers = HeaderMap::with_capacity(self.head.headers.len() + 4);
        let options = connection_options(&self.head.headers);
        for (name, value) in &self.head.headers {
            let kept = !is_hop_by_hop(name)
                && !options.contains(name)
                && !is_reserved(names, name)
                && name != CONTENT_LENGTH;
            if kept {
                headers.append(name.clone(), value.clone());
            }
        }
        let remaining = self.remaining().saturating_sub(RESPONSE_MARGIN).as_millis().max(1);
        insert(&mut headers, &names.deadline, &remaining.to_string());
        insert(&mut headers, &names.endpoint, endpoint);
        if let Some(team) = &self.team {
            insert(&mut headers, &names.team, team.as_str());
        }
        if !inputs.is_empty() {
            let list: Vec<&str> = inputs.iter().map(|it| it.0.as_str()).collect();
            insert(&mut headers, &names.inputs, &list.join(","));
        }
        let path = self.head.uri.path_and_query().map_or("/", |it| it.as_str());
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = path.parse::<Uri>().expect("the path of a valid URI is valid");
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the `Host` header or, without one, the host of the URI.
fn host(head: &Parts) -> &str {
    let stated = head.headers.get(HOST).and_then(|it| it.to_str().ok());
    stated.or(head.uri.host()).unwrap_or_default()
}

fn header_text<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|it| it.to_str().ok())
}

fn authenticate(
    view: &View,
    names: &HeaderNames,
    head: &Parts,
    route: &RelayRoute,
) -> Result<(Option<TeamName>, Option<u8>), Denial> {
    if !view.catalog().has_teams() {
        return Ok((None, None));
    }
    let key = header_text(head, &names.key).and_then(|it| it.strip_prefix("Bearer "));
    let known = key.and_then(|it| view.team(&ApiKey(it.trim().to_owned())));
    match known {
        Some((team, priority)) => Ok((Some(team.clone()), *priority)),
        None if route.public => Ok((None, None)),
        None => Err(Denial::NoKey),
    }
}

/// Returns the preferred failure domain of a request with stages; a request
/// without stages has none.
fn choose_domain(
    view: &View,
    route: &RelayRoute,
    pool: &PoolName,
    subject: &[u8],
) -> Option<DomainName> {
    if route.stages.is_empty() {
        return None;
    }
    let pools = route.stages.iter().map(|it| &it.pool).chain([pool]);
    let pools: Vec<&[Endpoint]> = pools.map(|it| view.endpoints(it)).collect();
    preferred_domain(subject, &pools)
}

/// Parses the number of pieces of each stage; one each without the header.
fn piece_counts(head: &Parts, names: &HeaderNames, route: &RelayRoute) -> Result<Vec<u32>, Denial> {
    let stages = route.stages.len();
    let Some(list) = header_text(head, &names.pieces).filter(|_| stages > 0) else {
        return Ok(vec![1; stages]);
    };
    let counts: Result<Vec<u32>, _> = list.split(',').map(|it| it.trim().parse()).collect();
    counts.ok().filter(|it| it.len() == stages).ok_or(Denial::Malformed)
}

/// Returns the ids of the prompt's parts without the last. Only the first
/// [`MAX_PARTS`] are looked at, and ids that can't be read are left out.
fn shared_parts(head: &Parts, names: &HeaderNames) -> Vec<Suspect> {
    let list = header_text(head, &names.parts).unwrap_or_default();
    let Some((shared, _)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').take(MAX_PARTS).map(|it| it.split(':').next().unwrap_or(it));
    let parts = ids.filter_map(|it| it.trim().parse().ok());
    parts.map(Suspect::Part).collect()
}

/// Reads whether the request takes up a stream. Only streams can be taken up.
fn resumption(head: &Parts, names: &HeaderNames, route: &RelayRoute) -> Option<Resumption> {
    let last_event = head.headers.get(&names.last_event).filter(|_| route.retry.is_stream())?;
    let first_attempt = header_text(head, &names.resumes).map(str::trim);
    Some(Resumption {
        first_attempt: first_attempt.filter(|it| !it.is_empty()).map(ToOwned::to_owned),
        last_event: String::from_utf8_lossy(last_event.as_bytes()).into_owned(),
    })
}

/// Returns the id of the attempt that brings or brought the first event, if it is known.
fn first_attempt<'a>(resumption: &'a Option<Resumption>, own: &'a str) -> Option<&'a str> {
    match resumption {
        Some(it) => it.first_attempt.as_deref(),
        None => Some(own),
    }
}

/// Returns the list of prompt parts without the last, which is specific to the
/// request.
fn affinity(head: &Parts, names: &HeaderNames) -> Option<Vec<u8>> {
    let parts = header_text(head, &names.parts)?;
    let shared = parts.rsplit_once(',').map_or(parts, |(shared, _)| shared);
    Some(shared.as_bytes().to_vec())
}

/// Whether a header is set, replaced or removed by the relay.
fn is_reserved(names: &HeaderNames, name: &HeaderName) -> bool {
    let reserved = [&names.deadline, &names.key, &names.team, &names.endpoint, &names.inputs];
    reserved.contains(&name) || names.reserved.contains(name) || *name == HANDED_OVER
}

/// Returns the header names listed in the `Connection` header.
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).filter_map(|it| it.trim().parse().ok()).collect()
}

fn insert(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    let value = HeaderValue::from_str(value).expect("the value is printable");
    headers.insert(name.clone(), value);
}
