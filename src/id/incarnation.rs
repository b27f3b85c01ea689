super::random_id! {
    /// Identifies one run of a process. A restarted process has another incarnation, even at the
    /// same address.
    ///
    /// ```
    /// # use ebonyusher::id::Incarnation;
    /// assert_ne!(Incarnation::random(), Incarnation::random());
    /// ```
    Incarnation
}
