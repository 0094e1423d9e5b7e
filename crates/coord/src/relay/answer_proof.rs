//! What an answer to a call of pieces proves about itself. Such answers carry no id: a copy of
//! an earlier one that arrives late is read in place of the next answer on its connection.
//!
//! Each result has a handle of its own, and answers come in the order of their calls. A
//! connection is used on only after answers that prove themselves and after answers to calls
//! that free results, so that an answer with results that is yet to come is that of the call
//! under way.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// How many handles are kept at least: those of several seconds of full calls, after which
/// results have expired.
const MIN_KEPT: usize = 2048;

/// Which call an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProof {
    /// It is the answer of the call.
    Own,
    /// It may be a copy of an earlier answer.
    Unproven,
    /// It isn't the answer of the call.
    Foreign,
}

/// The handles that one start of an endpoint has delivered, as digests. The oldest are dropped.
#[derive(Debug, Default)]
pub struct DeliveredHandles {
    recent: HashSet<u64>,
    earlier: HashSet<u64>,
}

impl DeliveredHandles {
    /// Returns what the handles in an answer prove, and adds them. `reused` is whether an answer
    /// was read on the connection before.
    pub fn check<'a>(
        &mut self,
        reused: bool,
        handles: impl IntoIterator<Item = &'a str>,
    ) -> AnswerProof {
        let mut proof = if reused { AnswerProof::Unproven } else { AnswerProof::Own };
        for it in handles {
            match self.insert(it) {
                false => proof = AnswerProof::Foreign,
                true if proof == AnswerProof::Unproven => proof = AnswerProof::Own,
                true => {}
            }
        }
        proof
    }

    /// Adds a handle. Returns whether it wasn't delivered before.
    fn insert(&mut self, handle: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        handle.hash(&mut hasher);
        let digest = hasher.finish();
        if self.recent.len() >= MIN_KEPT {
            self.earlier = std::mem::take(&mut self.recent);
        }
        !self.earlier.contains(&digest) && self.recent.insert(digest)
    }
}
