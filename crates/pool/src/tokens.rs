//! Fencing tokens of the owners of cells.
//!
//! A token consists of the generation of the store's assignment, a step within it and a revision
//! within the step. Only the daemon that holds the cell's partition in a generation issues the steps of that
//! generation, so that every later owner of a cell has a higher token: the first owner has step 0, and
//! each delegation to another daemon or return to the holder has the next step. The revisions of a
//! step belong to its owner, which raises the token of the calls to one worker when a call got no reply: a
//! worker that has seen the higher token refuses all earlier calls that are still on their way.

/// Number of steps in a generation. A holder changes the owner of a cell at most once a second, so
/// the steps last for a quarter of an hour without any change of the assignment.
const STEPS_PER_GENERATION: u64 = 1_024;
/// Number of revisions in a step. Only calls without a reply use one up.
const REVISIONS_PER_STEP: u64 = 1 << 16;

/// Returns the token of the first owner of a cell in a generation.
pub const fn first_token(generation: u64) -> u64 {
    generation.saturating_mul(STEPS_PER_GENERATION * REVISIONS_PER_STEP)
}

/// Returns the step of a token, which all tokens of one owner share.
pub const fn step_of(token: u64) -> u64 {
    token / REVISIONS_PER_STEP
}

/// Returns the generation in which a token was issued.
pub const fn generation_of(token: u64) -> u64 {
    token / (STEPS_PER_GENERATION * REVISIONS_PER_STEP)
}

/// Returns the first token of the lowest step of a generation that is above those of all of `used`.
/// Tokens of other generations are ignored, since they are ordered by their generations. Returns
/// `None` if the generation has no steps left.
pub fn next_token(generation: u64, used: impl IntoIterator<Item = u64>) -> Option<u64> {
    let is_of_generation = |token: &u64| generation_of(*token) == generation;
    let last = used.into_iter().filter(is_of_generation).max();
    let next = last.map_or(first_token(generation), |last| {
        (step_of(last) + 1).saturating_mul(REVISIONS_PER_STEP)
    });
    (generation_of(next) == generation).then_some(next)
}

/// Returns the next token of the same step, or `None` if the step has no revisions left.
pub const fn next_revision(token: u64) -> Option<u64> {
    let next = token.saturating_add(1);
    if next.is_multiple_of(REVISIONS_PER_STEP) { None } else { Some(next) }
}
