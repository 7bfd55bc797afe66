//! Accounting of accelerator memory.

mod memory_ledger;
mod memory_unit;

pub use memory_ledger::{HoldState, LedgerEntry, LedgerKey, MemoryLedger, MemoryShort};
pub use memory_unit::{AdapterUnit, MemoryUnit};
