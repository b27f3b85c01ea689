super::random_id! {
    /// One life of a process. A restarted process has another one, whatever its address.
    ///
    /// ```
    /// # use ebonyusher::id::Incarnation;
    /// assert_ne!(Incarnation::random(), Incarnation::random());
    /// ```
    Incarnation
}
