super::random_id! {
    /// One try at one request. Each hop checks that an answer carries the id of its own attempt.
    ///
    /// ```
    /// # use ebonyusher::id::Attempt;
    /// let id = Attempt::from_raw(255);
    /// assert_eq!(id.to_string().parse::<Attempt>(), Ok(id));
    /// ```
    Attempt
}
