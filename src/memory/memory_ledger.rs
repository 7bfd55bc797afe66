//! Tracks reservations of one accelerator's memory.

use derive_more::Error;
use displaydoc::Display;
use slotmap::SlotMap;

use super::MemoryUnit;

slotmap::new_key_type! {
    /// Key of an entry in the ledger.
    pub struct LedgerKey;
}

/// State of a ledger entry; its memory counts as used in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Reserved, before the load order is sent or while it is in flight.
    Reserved,
    /// The engine confirmed the load.
    Loaded,
    /// The unload order is in flight.
    Unloading,
    /// An order had no response; the engine's next state report decides.
    Unconfirmed,
}

/// One use of memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// What uses the memory.
    pub unit: MemoryUnit,
    /// Megabytes used.
    pub memory_mb: u64,
    /// State of the entry.
    pub state: EntryState,
}

/// {missing_mb} MB of accelerator memory are missing
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct MemoryShortage {
    /// Megabytes that must be freed first.
    pub missing_mb: u64,
}

/// Reserves memory before each load order and frees it only when the engine confirms that it
/// no longer holds the unit.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    capacity_mb: u64,
    /// Sum of all entries; exceeds the capacity only if the engine reports holding more.
    used_mb: u64,
    entries: SlotMap<LedgerKey, LedgerEntry>,
}

impl MemoryLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn open(capacity_mb: u64) -> Self {
        Self {
            capacity_mb,
            used_mb: 0,
            entries: SlotMap::with_key(),
        }
    }

    /// Total megabytes.
    #[must_use]
    pub const fn capacity_mb(&self) -> u64 {
        self.capacity_mb
    }

    /// Megabytes used, including reserved and unconfirmed entries.
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
        let required_mb = self.used_mb.saturating_add(memory_mb);
        if required_mb > self.capacity_mb {
            return Err(MemoryShortage {
                missing_mb: required_mb - self.capacity_mb,
            });
        }
        Ok(self.insert_entry(unit, memory_mb, EntryState::Reserved))
    }

    /// Changes an entry's state.
    pub fn set_state(&mut self, key: LedgerKey, state: EntryState) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    /// Frees an entry's memory. Call it only when the engine has confirmed that it no longer
    /// holds the unit.
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

    /// Adds a unit that the engine reports as held but that has no entry.
    pub fn adopt(&mut self, unit: MemoryUnit, memory_mb: u64) -> LedgerKey {
        self.insert_entry(unit, memory_mb, EntryState::Loaded)
    }

    fn insert_entry(&mut self, unit: MemoryUnit, memory_mb: u64, state: EntryState) -> LedgerKey {
        self.used_mb += memory_mb;
        self.entries.insert(LedgerEntry {
            unit,
            memory_mb,
            state,
        })
    }
}
