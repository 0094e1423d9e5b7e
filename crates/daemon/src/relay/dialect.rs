//! Wire formats of requests, responses and batched calls. The default is this
//! project's own format; other front ends supply theirs.

use {
    super::{Handle, PieceResult},
    crate::answer_notices::{BRITTLE_HEADER, LEAVING_HEADER, LIMIT_HEADER},
    coord::time::Millis,
    hyper::header::{AUTHORIZATION, HeaderName},
    serde::{Deserialize, Serialize},
};

/// Header names, by purpose.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt by a caller, echoed by endpoints.
    pub request: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Key of the caller, as a bearer token.
    pub key: HeaderName,
    /// Team that owns the key; sent to endpoints.
    pub team: HeaderName,
    /// Name of the endpoint that the request is meant for; any other refuses it.
    pub endpoint: HeaderName,
    /// Signature by which an endpoint proves that the response is its own.
    pub signature: HeaderName,
    /// Present if the endpoint has not run the request.
    pub not_run: HeaderName,
    /// `1` if the endpoint is leaving.
    pub leaving: HeaderName,
    /// The requests a second that the endpoint takes from all instances together.
    pub limit: HeaderName,
    /// How many requests the endpoint can reject in a second without going down.
    pub brittle: HeaderName,
    /// Parts of the prompt in order, as comma-separated `ID:TOKENS`.
    pub parts: HeaderName,
    /// Comma-separated numbers of pieces, one per stage.
    pub pieces: HeaderName,
    /// Input of the stages that don't depend on others.
    pub source: HeaderName,
    /// Comma-separated handles of the results that the request needs.
    pub inputs: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream that a
    /// request takes up.
    pub resumes: HeaderName,
    /// Id of the last event that the caller has of the stream that it takes up.
    pub last_event: HeaderName,
    /// Other headers that only the relay may set; removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceInput {
    /// Source named by the caller.
    Source(String),
    /// Results of the stages that it depends on.
    Results(Vec<Handle>),
}

/// One piece in a batched call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceItem {
    #[serde(rename = "request")]
    pub request_id: String,
    /// Position of the stage in its route.
    pub stage: usize,
    /// Number of the piece in its stage, from zero.
    pub number: u32,
    /// Time left until the result is useless.
    #[serde(rename = "left")]
    pub remaining: Millis,
    pub input: PieceInput,
}

/// Encoding of batched calls.
#[derive(Debug, Clone)]
pub struct BatchCodec {
    pub run_path: &'static str,
    pub free_path: &'static str,
    pub encode: fn(&[PieceItem]) -> Vec<u8>,
    /// Returns one result per piece, in order.
    pub decode: fn(&[u8]) -> Result<Vec<PieceResult>, serde_json::Error>,
    pub encode_free: fn(&[Handle]) -> Vec<u8>,
}

/// A wire format of relayed requests.
#[derive(Debug, Clone)]
pub struct Dialect {
    pub headers: HeaderNames,
    pub batches: BatchCodec,
}

#[derive(Serialize)]
struct RunBody<'a> {
    pieces: &'a [PieceItem],
}

#[derive(Deserialize)]
struct ResultBody {
    results: Vec<PieceResult>,
}

#[derive(Serialize)]
struct FreeBody<'a> {
    results: &'a [Handle],
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        let headers = HeaderNames {
            request: name("mangobend-request"),
            deadline: name("mangobend-deadline-ms"),
            key: AUTHORIZATION,
            team: name("mangobend-team"),
            endpoint: name("mangobend-endpoint"),
            signature: name("mangobend-signature"),
            not_run: name("mangobend-not-run"),
            leaving: name(LEAVING_HEADER),
            limit: name(LIMIT_HEADER),
            brittle: name(BRITTLE_HEADER),
            parts: name("mangobend-parts"),
            pieces: name("mangobend-pieces"),
            source: name("mangobend-source"),
            inputs: name("mangobend-inputs"),
            resumes: name("mangobend-resumes"),
            last_event: name("last-event-id"),
            reserved: Vec::new(),
        };
        let batches = BatchCodec {
            run_path: "/v1/pieces",
            free_path: "/v1/pieces/free",
            encode: |pieces| json(&RunBody { pieces }),
            decode: |body| serde_json::from_slice::<ResultBody>(body).map(|it| it.results),
            encode_free: |results| json(&FreeBody { results }),
        };
        Self { headers, batches }
    }
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the body serializes to JSON")
}
