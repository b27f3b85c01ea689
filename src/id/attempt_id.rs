super::random_id! {
    /// One try at one request. Each hop checks that an answer carries the id of its own attempt.
    ///
    /// ```
    /// # use ebonyusher::id::AttemptId;
    /// let id = AttemptId::from_raw(255);
    /// assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
    /// ```
    AttemptId
}
