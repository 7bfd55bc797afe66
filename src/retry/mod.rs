//! Retry budgets.

mod resend_window;
mod retry_budget;

pub use resend_window::ResendWindow;
pub use retry_budget::RetryBudget;
