//! Fencing tokens of the owners of cells.
//!
//! A token consists of the generation of the store's assignment, a step within it and a revision
//! within the step. Only the process that holds the cell's partition in a generation issues the steps of
//! that generation (see [`crate::arrival`]), so that every later owner of a cell has a higher token: the
//! first owner has step 0, and each delegation to another daemon or return to the holder has the next step.
//!
//! The revisions of a step belong to its owner. Part of them are for its own calls: it raises the
//! token of the calls to one worker when a call got no reply, and a worker that has seen the higher token
//! refuses all earlier calls that are still on their way. The others are for daemons to which it hands
//! the cell over without the holder. The first token of an owner tells which revisions it may use, so
//! that no two owners use the same one although they cannot reach each other. See
//! `docs/design/balance.md`.

/// Number of steps in a generation. A holder changes the owner of a cell at most once a second, so
/// the steps last for a quarter of an hour without any change of the assignment.
const STEPS_PER_GENERATION: u64 = 1_024;
/// Number of revisions in a step: a power of [`SHARES`].
const REVISIONS_PER_STEP: u64 = 1 << 16;
/// Number of equal parts into which an owner's revisions are divided: one for its own calls, and the
/// others for daemons that may own the cell after a handover.
const SHARES: u64 = 4;

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

/// Returns the number of revisions in each share of the owner whose first token is `first`; zero if it
/// has a single revision.
const fn share_of(first: u64) -> u64 {
    let mut revisions = REVISIONS_PER_STEP;
    while !first.is_multiple_of(revisions) {
        revisions /= SHARES;
    }
    revisions / SHARES
}

/// Returns the next token after `last` for the calls of the owner whose first token is `first`, or
/// `None` if it has no revisions left.
pub const fn next_revision(first: u64, last: u64) -> Option<u64> {
    let next = last.saturating_add(1);
    if next - first < share_of(first) { Some(next) } else { None }
}

/// Returns the first tokens, in ascending order, of the daemons to which the owner whose first token is
/// `first` hands over its cell within its step. Each is higher than all tokens of the owner's calls
/// and all tokens that follow from the ones before it.
pub fn handover_tokens(first: u64) -> impl Iterator<Item = u64> {
    let share = share_of(first);
    (1..SHARES).map(move |number| first + number * share).filter(move |_| share > 0)
}
