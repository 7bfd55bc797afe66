//! Settings of the limits of client accounts.

use super::DecimalValue;
use crate::account_limit::AccountBounds;
use crate::settings::SectionReader;

const EXPECTED_DECIMAL: &str = "a number such as 0.25";

/// Length of the window in which the use of an account is bounded, in seconds, unless a setting says
/// otherwise.
const DEFAULT_WINDOW_S: DecimalValue = DecimalValue::of_whole(8);

/// How far accounts may exceed their limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountSettings {
    /// Length of the window in seconds.
    pub window_s: DecimalValue,
    /// Part by which the use in a window may exceed the limit.
    pub overage: DecimalValue,
    /// Units by which it may exceed that.
    pub slack: DecimalValue,
}

impl AccountSettings {
    /// Reads the settings; without any, limits are not exceeded.
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let none = DecimalValue::of_whole(0);
        Self {
            window_s: reader.or_default("account_window_s", EXPECTED_DECIMAL, DEFAULT_WINDOW_S),
            overage: reader.or_default("account_overage", EXPECTED_DECIMAL, none),
            slack: reader.or_default("account_slack", EXPECTED_DECIMAL, none),
        }
    }

    /// The same as numbers.
    #[must_use]
    pub fn bounds(&self) -> AccountBounds {
        let number = |value: DecimalValue| f64::from(value.thousandths()) / 1_000.0;
        AccountBounds {
            window_s: number(self.window_s),
            overage: number(self.overage),
            slack: number(self.slack),
        }
    }
}
