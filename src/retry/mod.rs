//! Budgets for retries.

mod retry_budget;

pub use retry_budget::RetryBudget;
