/// Outcome of a write to the platform's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, but its answer is lost.
    AnswerLost,
    /// It is not carried out, and there is no answer.
    Lost,
    /// It is refused and not carried out.
    Refused,
}
