use http::HeaderName;

/// Names of the HTTP headers that callers, entries and upstreams of a deployment agree on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of the caller's attempt, which the upstream echoes.
    pub attempt: HeaderName,
    /// Time left for the response, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the client account, set for the upstream.
    pub account: HeaderName,
    /// Id of the upstream that a request is intended for.
    pub upstream: HeaderName,
    /// Present in a response if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Load of the upstream: running and waiting requests, and slots.
    pub load: HeaderName,
    /// Limit of the upstream: requests per second that it accepts from all entries together.
    pub limit: HeaderName,
    /// Value 1 in the responses of an upstream that drains.
    pub draining: HeaderName,
    /// Present in every response that the upstream itself produced.
    pub seal: HeaderName,
    /// Urgency of a request, from the priority in the settings; 0 is the most urgent.
    pub urgency: HeaderName,
    /// Number of prompt tokens, and maximum number of response tokens.
    pub tokens: HeaderName,
    /// Parts of the prompt.
    pub prompt: HeaderName,
    /// The caller's estimate of the number of response tokens.
    pub length_hint: HeaderName,
}

impl HeaderNames {
    /// Returns the names of the headers that upstreams set in responses.
    ///
    /// ```
    /// # use ebonyusher::direct::HeaderNames;
    /// # let name = http::HeaderName::from_static;
    /// # let names = HeaderNames {
    /// #     attempt: name("id"), deadline: name("d"), account: name("a"), upstream: name("u"),
    /// #     not_run: name("n"), load: name("l"), limit: name("r"), draining: name("v"), seal: name("seal"), urgency: name("p"),
    /// #     tokens: name("t"), prompt: name("m"),
    /// #     length_hint: name("h"),
    /// # };
    /// assert!(names.in_responses().any(|name| *name == names.seal));
    /// ```
    pub fn in_responses(&self) -> impl Iterator<Item = &HeaderName> {
        [&self.attempt, &self.not_run, &self.load, &self.limit, &self.draining, &self.seal]
            .into_iter()
    }
}
