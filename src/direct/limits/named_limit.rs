use http::{HeaderMap, HeaderName};

/// What a response says of the rate of requests that its upstream accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Nothing: it accepts any.
    None,
    /// Requests per second from all entries together.
    Rate(f64),
    /// Something that is no rate, so that what is known stays.
    Unreadable,
}

impl NamedLimit {
    /// Reads the header of a response. Of several readable values the lowest holds.
    ///
    /// ```
    /// # use ebonyusher::direct::NamedLimit;
    /// # use http::{HeaderMap, HeaderName, HeaderValue};
    /// let name = HeaderName::from_static("server-limit");
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(NamedLimit::read(&headers, &name), NamedLimit::None);
    /// headers.append(&name, HeaderValue::from_static("-1"));
    /// assert_eq!(NamedLimit::read(&headers, &name), NamedLimit::Unreadable);
    /// headers.append(&name, HeaderValue::from_static("2.5"));
    /// assert_eq!(NamedLimit::read(&headers, &name), NamedLimit::Rate(2.5));
    /// ```
    pub fn read(headers: &HeaderMap, name: &HeaderName) -> Self {
        let values = || headers.get_all(name).iter();
        let rates = values().filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
        let lowest = rates.filter(|rate| rate.is_finite() && *rate >= 0.0).reduce(f64::min);
        match lowest {
            Some(rate) => Self::Rate(rate),
            None if values().next().is_some() => Self::Unreadable,
            None => Self::None,
        }
    }
}
