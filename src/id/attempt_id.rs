super::random_id! {
    /// Identifies one attempt at a request. Each hop checks that a response carries the id of its
    /// own attempt.
    ///
    /// ```
    /// # use ebonyusher::id::AttemptId;
    /// let id = AttemptId::from_raw(255);
    /// assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
    /// ```
    AttemptId
}
