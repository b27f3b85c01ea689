/// What becomes of a write to the platform's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is lost on the way, with no answer.
    Lost,
    /// It is refused and not carried out.
    Refused,
}
