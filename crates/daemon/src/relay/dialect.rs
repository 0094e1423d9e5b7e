//! How requests, answers and calls of stages are written on the wire. The
//! default is the product's own; other front doors bring theirs.

use {
    super::{Handle, PieceResult},
    coord::time::Millis,
    hyper::header::{AUTHORIZATION, HeaderName},
    serde::{Deserialize, Serialize},
};

/// Names of headers, by what they hold.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The id of one attempt of a caller, echoed by endpoints.
    pub request: HeaderName,
    /// The time in milliseconds for which the caller waits.
    pub deadline: HeaderName,
    /// The caller's key, as a bearer token.
    pub key: HeaderName,
    /// The team that the key belongs to, towards endpoints.
    pub team: HeaderName,
    /// The endpoint that the request is meant for; any other refuses it.
    pub endpoint: HeaderName,
    /// An endpoint's proof that the answer is its own.
    pub signature: HeaderName,
    /// An endpoint's word that it has not run the request.
    pub not_run: HeaderName,
    /// The parts of the prompt in order, as `ID:TOKENS` joined by commas.
    pub parts: HeaderName,
    /// The number of pieces of each stage, joined by commas.
    pub pieces: HeaderName,
    /// What stages without inputs work on.
    pub source: HeaderName,
    /// Handles of the results that the request needs, joined by commas.
    pub inputs: HeaderName,
    /// Other headers that only the system sets.
    pub reserved: Vec<HeaderName>,
}

/// What a piece works on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceInput {
    /// The source that the caller named.
    Source(String),
    /// Results of the stages before.
    Results(Vec<Handle>),
}

/// One piece in a call of a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceItem {
    #[serde(rename = "request")]
    pub request_id: String,
    /// The position of the stage in its route.
    pub stage: usize,
    /// The number of the piece in its stage.
    pub number: u32,
    /// For how long the result is of use.
    #[serde(rename = "left")]
    pub remaining: Millis,
    pub input: PieceInput,
}

/// How calls of stages are written.
#[derive(Debug, Clone)]
pub struct BatchCodec {
    pub run_path: &'static str,
    pub free_path: &'static str,
    pub encode: fn(&[PieceItem]) -> Vec<u8>,
    /// One result for each piece, in order.
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
            parts: name("mangobend-parts"),
            pieces: name("mangobend-pieces"),
            source: name("mangobend-source"),
            inputs: name("mangobend-inputs"),
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
    serde_json::to_vec(value).expect("the body can be written as JSON")
}
