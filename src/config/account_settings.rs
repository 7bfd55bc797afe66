//! Settings of the limits of client accounts.

use std::str::FromStr;

use super::{DecimalError, DecimalValue};
use crate::account_limit::AccountBounds;
use crate::settings::SectionReader;

const EXPECTED_DECIMAL: &str = "a number such as 0.25";
const EXPECTED_UNITS: &str = "a number of units such as 17000";

/// Length of the window in which the use of an account is bounded, in seconds, unless a setting says
/// otherwise.
const DEFAULT_WINDOW_S: DecimalValue = DecimalValue::of_whole(8);

/// Units of accounts' limits. Unlike a [`DecimalValue`] they may be more than a million, since tokens
/// are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnitCount(pub u64);

impl FromStr for UnitCount {
    type Err = DecimalError;

    fn from_str(text: &str) -> Result<Self, DecimalError> {
        let number: f64 = text.trim().parse().map_err(|_| DecimalError)?;
        if !number.is_finite() || number < 0.0 {
            return Err(DecimalError);
        }
        // Fractions of a unit mean nothing; a number above the largest one is cut to it.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let units = number as u64;
        Ok(Self(units))
    }
}

/// How far accounts may exceed their limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountSettings {
    /// Length of the window in seconds.
    pub window_s: DecimalValue,
    /// Part by which the use in a window may exceed the limit.
    pub overage: DecimalValue,
    /// Units by which it may exceed that.
    pub slack: UnitCount,
}

impl AccountSettings {
    /// Reads the settings; without any, limits are not exceeded.
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let none = DecimalValue::of_whole(0);
        Self {
            window_s: reader.or_default("account_window_s", EXPECTED_DECIMAL, DEFAULT_WINDOW_S),
            overage: reader.or_default("account_overage", EXPECTED_DECIMAL, none),
            slack: reader.or_default("account_slack", EXPECTED_UNITS, UnitCount::default()),
        }
    }

    /// The same as numbers.
    #[must_use]
    pub fn bounds(&self) -> AccountBounds {
        let number = |value: DecimalValue| f64::from(value.thousandths()) / 1_000.0;
        #[allow(clippy::cast_precision_loss)]
        let slack = self.slack.0 as f64;
        AccountBounds {
            window_s: number(self.window_s),
            overage: number(self.overage),
            slack,
        }
    }
}
