//! The states of waves in the store, which the operator reads.
//!
//! One state is written after the other, each on condition that the key has not changed since it was
//! last seen. Of two copies that expect the same revision only one takes effect, so whatever the
//! store carries out late, the state that was written last stays.

use indexmap::IndexMap;
use teaselgap_platform::{config, store::Outcome};

use super::{FleetOwner, RETRY_PAUSE, WriteConflict, conflict_on, owned_write};

/// The states of waves that one owner of the fleet writes.
#[derive(Debug, Default)]
pub(super) struct WaveStates {
    /// The latest state of each wave whose state is to be written: whether the wave is finished.
    unwritten: IndexMap<u64, bool>,
    /// The revision at which each state was last seen in the store.
    revisions: IndexMap<u64, u64>,
    is_writing: bool,
}

impl WaveStates {
    /// Notes that the store shows a state of a wave at this revision.
    fn on_written(&mut self, wave: u64, finished: bool, revision: u64) {
        self.revisions.insert(wave, revision);
        if self.unwritten.get(&wave) == Some(&finished) {
            self.unwritten.shift_remove(&wave);
        }
    }

    /// Lets the states of other waves go first.
    fn defer(&mut self, wave: u64) {
        if let Some(finished) = self.unwritten.shift_remove(&wave) {
            self.unwritten.insert(wave, finished);
        }
    }
}

impl FleetOwner {
    /// Writes the state of a wave, retrying until the store shows its latest state or the term has
    /// ended. While a state is being written, this is left to the call that writes it.
    pub(super) async fn write_wave_state(&self, wave: u64, finished: bool) {
        {
            let mut states = self.wave_states.borrow_mut();
            states.unwritten.insert(wave, finished);
            if std::mem::replace(&mut states.is_writing, true) {
                return;
            }
        }
        while !self.is_term_over.get() {
            let next =
                self.wave_states.borrow().unwritten.first().map(|(wave, state)| (*wave, *state));
            let Some((wave, finished)) = next else {
                break;
            };
            self.try_to_write(wave, finished).await;
        }
        self.wave_states.borrow_mut().is_writing = false;
    }

    /// Writes the state of a wave over the one that was last seen in the store. The state is written
    /// although it is the one that was seen if a write of another state may still be carried out.
    async fn try_to_write(&self, wave: u64, finished: bool) {
        let (key, value) = config::wave_status(wave, finished);
        let revision = self.wave_states.borrow().revisions.get(&wave).copied().unwrap_or(0);
        let txn = owned_write(self.epoch, &key, revision, value.clone());
        match self.node.repeater.transact(&self.node.store, &txn).await {
            Ok(Outcome::Done(revision)) => {
                self.wave_states.borrow_mut().on_written(wave, finished, revision);
            }
            Ok(Outcome::Conflict(items)) => match conflict_on(&items, self.epoch, &key, &value) {
                // No open copy of this term expects that revision, as this is the first sight of it.
                WriteConflict::Written(revision) => {
                    self.wave_states.borrow_mut().on_written(wave, finished, revision);
                }
                WriteConflict::OtherValue(revision) => {
                    self.wave_states.borrow_mut().revisions.insert(wave, revision);
                }
                WriteConflict::OtherOwner => self.end_term("the duty has another owner"),
            },
            Err(_) => {
                self.wave_states.borrow_mut().defer(wave);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
