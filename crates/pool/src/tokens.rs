//! Fencing tokens of the owners of cells.
//!
//! A token consists of the generation of the store's assignment and a step within it. Only the
//! daemon that holds the cell's partition in a generation issues the steps of that generation, so
//! that every later owner of a cell has a higher token: the first owner has step 0, and each
//! delegation to another daemon or return to the holder has the next step.

/// Number of steps in a generation. A holder changes the owner of a cell at most once a second, so
/// the steps last for a quarter of an hour without any change of the assignment.
const STEPS_PER_GENERATION: u64 = 1_024;

/// Returns the token of the first owner of a cell in a generation.
pub const fn first_token(generation: u64) -> u64 {
    generation.saturating_mul(STEPS_PER_GENERATION)
}

/// Returns the generation in which a token was issued.
pub const fn generation_of(token: u64) -> u64 {
    token / STEPS_PER_GENERATION
}

/// Returns the lowest token of a generation that is higher than all of `used`. Tokens of other
/// generations are ignored, since they are ordered by their generations. Returns `None` if the
/// generation has no steps left.
pub fn next_token(generation: u64, used: impl IntoIterator<Item = u64>) -> Option<u64> {
    let is_of_generation = |token: &u64| generation_of(*token) == generation;
    let last = used.into_iter().filter(is_of_generation).max();
    let next = last.map_or(first_token(generation), |last| last.saturating_add(1));
    (generation_of(next) == generation).then_some(next)
}
