//! Text of answers: a function of the call and its prompt, so that a reader can check that an
//! answer belongs to its own program, call and prompt.

use dahlia_types::{CallId, Message};
use sha2::{Digest, Sha256};

use super::prompt::first_word;

const WORD_LETTERS: u64 = 7;
const WORD_LENGTH: u64 = WORD_LETTERS + 1;
const LETTERS: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";
const DIGEST_DIGITS: usize = 8;

/// The endless text of one answer; an answer of `n` bytes is its first `n` bytes.
///
/// It begins with `[<call> <digest>] `, e.g. `[p-1-00000000000000ab/0/1 1f0c99d2] `, and goes on
/// in words that follow from the digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerText {
    header: String,
    seed: u64,
}

impl AnswerText {
    /// The text that answers `messages` as call `call`.
    pub fn new(call: CallId, messages: &[Message]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(call.to_string());
        for message in messages {
            hasher.update([message.role as u8]);
            hasher.update((message.content.len() as u64).to_le_bytes());
            hasher.update(message.content.as_bytes());
        }
        let seed = first_word(&hasher.finalize());
        let digest = &format!("{seed:016x}")[..DIGEST_DIGITS];
        Self { header: format!("[{call} {digest}] "), seed }
    }

    /// The part that says whose answer it is.
    pub fn header(&self) -> &str {
        &self.header
    }

    /// Bytes `from..to` of the text; ASCII.
    pub fn piece(&self, from: u64, to: u64) -> String {
        (from..to).map(|offset| char::from(self.byte_at(offset))).collect()
    }

    fn byte_at(&self, offset: u64) -> u8 {
        let header = self.header.as_bytes();
        let Some(behind) = offset.checked_sub(header.len() as u64) else {
            return header[offset as usize];
        };
        let place = behind % WORD_LENGTH;
        if place == WORD_LETTERS {
            return b' ';
        }
        let word = mix(self.seed.wrapping_add(behind / WORD_LENGTH));
        let letter = (word >> (place * WORD_LENGTH)) % LETTERS.len() as u64;
        LETTERS[letter as usize]
    }
}

/// SplitMix64's output function (Steele, Lea and Flood 2014).
fn mix(state: u64) -> u64 {
    let state = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
