//! The history of operators' changes: author, time, summary and outcome.

use {
    super::{Change, ChangeOutcome},
    crate::{ids::ChangeId, time::WallTime},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// The most records that are retained. A resend of an older change is
/// answered with [`ChangeOutcome::Expired`].
pub const MAX_RECORDS: usize = 20_000;
/// The most edits listed in the summary of a record.
const MAX_SUMMARY_EDITS: usize = 8;

/// A row of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    pub id: ChangeId,
    pub author: String,
    pub at: WallTime,
    pub summary: String,
    pub outcome: ChangeOutcome,
    /// A digest of the change, to detect that its identifier is reused for a
    /// different change.
    pub digest: u64,
}

/// The records of the latest changes, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct History {
    records: IndexMap<ChangeId, ChangeRecord>,
    /// The latest identifier timestamp among the removed records.
    #[serde(rename = "dropped")]
    pruned_until: WallTime,
}

impl History {
    /// The outcome to answer with if the identifier of the change is in the
    /// history: the recorded one, or `Invalid` if the content differs.
    pub fn recorded_outcome(&self, change: &Change) -> Option<ChangeOutcome> {
        let record = self.records.get(&change.id)?;
        if record.digest == digest(change) {
            return Some(record.outcome.clone());
        }
        let reason = format!("change id {} was used for another change", change.id);
        Some(ChangeOutcome::Invalid { reason })
    }

    /// Whether the record of a change may have been removed already. Once
    /// records are removed, changes up to the latest removed timestamp can't be
    /// told from ones that were applied.
    pub fn may_be_pruned(&self, change: &Change) -> bool {
        change.id.time() <= self.pruned_until
    }

    /// Stores the outcome of a change and removes the records that exceed
    /// [`MAX_RECORDS`].
    pub fn record(&mut self, change: &Change, outcome: ChangeOutcome) {
        let record = ChangeRecord {
            id: change.id,
            author: change.author.clone(),
            at: change.at,
            summary: summarize(change),
            outcome,
            digest: digest(change),
        };
        self.records.insert(change.id, record);
        while self.records.len() > MAX_RECORDS {
            let (id, _) = self.records.shift_remove_index(0).expect("the history isn't empty");
            self.pruned_until = self.pruned_until.max(id.time());
        }
    }

    /// The records, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.values().rev()
    }
}

fn summarize(change: &Change) -> String {
    let shown = change.edits.iter().take(MAX_SUMMARY_EDITS).map(ToString::to_string);
    let mut text = shown.collect::<Vec<_>>().join(", ");
    if change.edits.len() > MAX_SUMMARY_EDITS {
        text += &format!(" and {} more", change.edits.len() - MAX_SUMMARY_EDITS);
    }
    text
}

/// Hashes the base and the edits. The author and time may differ in a resend,
/// so they are left out. The digest is stored and hashes `Debug` texts, so these
/// must not change between builds.
fn digest(change: &Change) -> u64 {
    let text = format!("{:?} {:?}", change.base, change.edits);
    let hash = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(hash[..8].try_into().expect("a digest has 32 bytes"))
}
