use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Maximum size of a body that is stored with a claim. Of a response with a larger body only the
/// status and media type are stored.
const MAX_STORED_BYTES: usize = 16 << 10;

/// The response to a request that must not run twice, stored for repeats of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status of the response.
    pub status: u16,
    /// Media type of the body.
    pub media: Option<String>,
    /// The body in Base64; `None` if it was too large to store.
    pub body: Option<String>,
}

impl StoredAnswer {
    /// Makes the stored form of a response.
    ///
    /// ```
    /// # use ebonyusher::sidecar::StoredAnswer;
    /// let answer = http::Response::new(bytes::Bytes::from("done"));
    /// let stored = StoredAnswer::of(&answer);
    /// assert_eq!(stored.restore().unwrap().body(), "done");
    /// ```
    pub fn of(answer: &Response<Bytes>) -> Self {
        let media = answer.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let stored = answer.body().len() <= MAX_STORED_BYTES;
        Self {
            status: answer.status().as_u16(),
            media: media.map(str::to_owned),
            body: stored.then(|| STANDARD.encode(answer.body())),
        }
    }

    /// Rebuilds the response; `None` if its body was not stored.
    pub fn restore(&self) -> Option<Response<Bytes>> {
        let body = STANDARD.decode(self.body.as_deref()?).ok()?;
        let mut answer = Response::new(Bytes::from(body));
        *answer.status_mut() = StatusCode::from_u16(self.status).ok()?;
        if let Some(value) =
            self.media.as_deref().and_then(|media| HeaderValue::from_str(media).ok())
        {
            answer.headers_mut().insert(CONTENT_TYPE, value);
        }
        Some(answer)
    }
}
