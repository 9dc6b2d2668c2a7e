//! A sliding window with one used bit per ticket, over the gapless sequence of one incarnation.
//!
//! The window takes one bit per ticket and one expiry time per block of tickets. See
//! `docs/design/tickets.md`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Number of tickets in one block; the tickets of a block share one expiry time.
pub const TICKETS_PER_BLOCK: u64 = 512;

const WORD_BITS: u64 = 64;
const BLOCK_WORDS: usize = (TICKETS_PER_BLOCK / WORD_BITS) as usize;

/// The state of one sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeqState {
    /// The ticket was issued and has not been used.
    Unused,
    /// The ticket was used, by a run or by a refusal.
    Used,
    /// The block of the ticket has expired and was dropped.
    Expired,
    /// The ticket was never issued.
    NeverIssued,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Block {
    words: [u64; BLOCK_WORDS],
    expiry_ms: Millis,
}

/// A window with one used bit for each issued ticket that has not expired.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    first_block: u64,
    blocks: VecDeque<Block>,
    next_seq: u64,
}

impl Window {
    /// Issues the next sequence number, valid until `expiry_ms`.
    pub fn issue(&mut self, expiry_ms: Millis) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.blocks.is_empty() {
            self.first_block = seq / TICKETS_PER_BLOCK;
        }
        if seq / TICKETS_PER_BLOCK >= self.first_block + self.blocks.len() as u64 {
            self.blocks.push_back(Block { words: used_bits_before(seq), expiry_ms });
        }
        if let Some(block) = self.blocks.back_mut() {
            block.expiry_ms = block.expiry_ms.latest(expiry_ms);
        }
        seq
    }

    /// Returns the state of `seq`.
    pub fn state(&self, seq: u64) -> SeqState {
        if seq >= self.next_seq {
            return SeqState::NeverIssued;
        }
        let Some(block) = self.block_of(seq) else {
            return SeqState::Expired;
        };
        let (word, bit) = bit_position(seq);
        if block.words[word] & bit == 0 { SeqState::Unused } else { SeqState::Used }
    }

    /// Marks `seq` as used and returns whether it was unused before.
    pub fn mark_used(&mut self, seq: u64) -> bool {
        if self.state(seq) != SeqState::Unused {
            return false;
        }
        let index = (seq / TICKETS_PER_BLOCK - self.first_block) as usize;
        let (word, bit) = bit_position(seq);
        self.blocks[index].words[word] |= bit;
        true
    }

    /// Drops the oldest blocks in which every ticket has expired.
    pub fn expire(&mut self, now: Millis) {
        while self.blocks.front().is_some_and(|block| block.expiry_ms < now) {
            self.blocks.pop_front();
            self.first_block += 1;
        }
    }

    /// Clears every used bit: a fault that failure tests inject.
    #[doc(hidden)]
    pub fn clear_used_bits(&mut self) {
        for block in &mut self.blocks {
            block.words = [0; BLOCK_WORDS];
        }
    }

    /// Returns the number of tickets issued so far, including expired ones.
    pub const fn issued(&self) -> u64 {
        self.next_seq
    }

    /// Returns the size of the window in memory, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.blocks.len() * size_of::<Block>() + size_of::<Self>()
    }

    fn block_of(&self, seq: u64) -> Option<&Block> {
        let index = (seq / TICKETS_PER_BLOCK).checked_sub(self.first_block)?;
        self.blocks.get(index as usize)
    }
}

/// Returns the bits of a new block with all tickets before `seq` marked as used. Tickets that were
/// dropped with an expired block must not become unused again when `seq` recreates that block.
fn used_bits_before(seq: u64) -> [u64; BLOCK_WORDS] {
    let mut words = [0; BLOCK_WORDS];
    for earlier in 0..seq % TICKETS_PER_BLOCK {
        let (word, bit) = bit_position(earlier);
        words[word] |= bit;
    }
    words
}

const fn bit_position(seq: u64) -> (usize, u64) {
    let within = seq % TICKETS_PER_BLOCK;
    ((within / WORD_BITS) as usize, 1 << (within % WORD_BITS))
}
