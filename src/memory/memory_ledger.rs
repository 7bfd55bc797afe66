//! The ledger of one accelerator's memory.

use derive_more::Error;
use displaydoc::Display;
use slotmap::SlotMap;

use super::MemoryUnit;

slotmap::new_key_type! {
    /// Key of an entry in the ledger.
    pub struct LedgerKey;
}

/// How far an entry is; memory counts as used in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Reserved before the load order.
    Reserved,
    /// The engine confirmed the load.
    Loaded,
    /// The unload order is on its way.
    Unloading,
    /// An order went unanswered; the engine's own state will tell.
    Unconfirmed,
}

/// One use of memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// What uses the memory.
    pub unit: MemoryUnit,
    /// Megabytes used.
    pub memory_mb: u64,
    /// How far it is.
    pub state: EntryState,
}

/// {missing_mb} MB of accelerator memory are missing
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct MemoryShortage {
    /// Megabytes that must be freed first.
    pub missing_mb: u64,
}

/// Reserves memory before each load order and frees it only on the engine's word.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    capacity_mb: u64,
    /// Sum of all entries; above the capacity only if the engine itself reports more.
    used_mb: u64,
    entries: SlotMap<LedgerKey, LedgerEntry>,
}

impl MemoryLedger {
    /// Opens an empty ledger.
    #[must_use]
    pub fn open(capacity_mb: u64) -> Self {
        Self {
            capacity_mb,
            used_mb: 0,
            entries: SlotMap::with_key(),
        }
    }

    /// Megabytes in all.
    #[must_use]
    pub const fn capacity_mb(&self) -> u64 {
        self.capacity_mb
    }

    /// Megabytes used, reserved and doubtful ones included.
    #[must_use]
    pub const fn used_mb(&self) -> u64 {
        self.used_mb
    }

    /// Reserves memory for a unit about to be loaded.
    ///
    /// # Errors
    /// [`MemoryShortage`] if the capacity would be exceeded; nothing is reserved then.
    pub fn reserve(
        &mut self,
        unit: MemoryUnit,
        memory_mb: u64,
    ) -> Result<LedgerKey, MemoryShortage> {
        let wanted_mb = self.used_mb.saturating_add(memory_mb);
        if wanted_mb > self.capacity_mb {
            return Err(MemoryShortage {
                missing_mb: wanted_mb - self.capacity_mb,
            });
        }
        Ok(self.enter(unit, memory_mb, EntryState::Reserved))
    }

    /// Changes an entry's state.
    pub fn set_state(&mut self, key: LedgerKey, state: EntryState) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    /// Frees an entry's memory; only on the engine's word that it holds the unit no more.
    pub fn release(&mut self, key: LedgerKey) -> Option<LedgerEntry> {
        let entry = self.entries.remove(key)?;
        self.used_mb -= entry.memory_mb;
        Some(entry)
    }

    /// Finds a unit's entry.
    #[must_use]
    pub fn find(&self, unit: &MemoryUnit) -> Option<(LedgerKey, &LedgerEntry)> {
        self.entries.iter().find(|(_, entry)| entry.unit == *unit)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (LedgerKey, &LedgerEntry)> {
        self.entries.iter()
    }

    /// Enters a unit that the engine holds without the ledger's knowledge.
    pub fn adopt(&mut self, unit: MemoryUnit, memory_mb: u64) -> LedgerKey {
        self.enter(unit, memory_mb, EntryState::Loaded)
    }

    fn enter(&mut self, unit: MemoryUnit, memory_mb: u64, state: EntryState) -> LedgerKey {
        self.used_mb += memory_mb;
        self.entries.insert(LedgerEntry {
            unit,
            memory_mb,
            state,
        })
    }
}
