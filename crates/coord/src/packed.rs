//! Values that are written as compressed JSON.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu, ensure},
    std::{
        io::{self, Read, Write},
        marker::PhantomData,
        sync::Arc,
    },
};

/// The largest JSON that is unpacked: that of a message between instances.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Why a packed value can't be read.
#[derive(Debug, Snafu)]
pub enum PackedError {
    #[snafu(display("the packed value isn't base64: {source}"))]
    Encoding { source: base64::DecodeError },
    #[snafu(display("the packed value can't be decompressed: {source}"))]
    Compression { source: io::Error },
    #[snafu(display("the packed value has more than {MAX_UNPACKED_BYTES} bytes"))]
    TooLarge,
    #[snafu(display("the packed value isn't the expected JSON: {source}"))]
    Json { source: serde_json::Error },
}

/// A value as compressed JSON in base64. It is encoded once; clones share the text.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed<T> {
    text: Arc<str>,
    #[serde(skip)]
    value: PhantomData<T>,
}

impl<T> PartialEq for Packed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<T> Eq for Packed<T> {}

impl<T: Serialize> Packed<T> {
    /// Encodes a value.
    ///
    /// # Panics
    /// If the value can't be written as JSON, such as a map with keys that aren't text.
    pub fn new(value: &T) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let json = serde_json::to_vec(value).expect("the value can be written as JSON");
        let written = encoder.write_all(&json).and_then(|()| encoder.finish());
        let bytes = written.expect("memory takes all writes");
        Self { text: STANDARD.encode(bytes).into(), value: PhantomData }
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Decodes the value.
    ///
    /// # Errors
    /// The text isn't base64 of compressed JSON of a `T`, or it is too large.
    pub fn open(&self) -> Result<T, PackedError> {
        let bytes = STANDARD.decode(self.text.as_bytes()).context(EncodingSnafu)?;
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(&bytes[..]).take(MAX_UNPACKED_BYTES + 1);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        ensure!(json.len() as u64 <= MAX_UNPACKED_BYTES, TooLargeSnafu);
        serde_json::from_slice(&json).context(JsonSnafu)
    }
}
