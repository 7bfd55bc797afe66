//! Accounting of accelerator memory.

mod memory_ledger;
mod memory_unit;

pub use memory_ledger::{EntryState, LedgerEntry, LedgerKey, MemoryLedger, MemoryShortage};
pub use memory_unit::{AdapterUnit, MemoryUnit};
