//! A decimal number of the settings, kept in thousandths so that settings can be compared.

use std::str::FromStr;

use derive_more::{Display, Error};

/// Units of a [`DecimalValue`] in one.
const UNITS: f64 = 1_000.0;

/// The text is no number from 0 to 1,000,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a number from 0 to 1000000")]
pub struct DecimalError;

/// A number of at least 0 with three decimal places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DecimalValue {
    thousandths: u32,
}

impl DecimalValue {
    /// The number one.
    pub const ONE: Self = Self::of_whole(1);

    /// A whole number, of at most 1,000,000.
    #[must_use]
    pub const fn of_whole(number: u32) -> Self {
        Self {
            thousandths: number * 1_000,
        }
    }

    /// The largest whole number that is not above it.
    #[must_use]
    pub const fn rounded_down(self) -> u32 {
        self.thousandths / 1_000
    }

    /// The smallest whole number that is not below it.
    #[must_use]
    pub const fn rounded_up(self) -> u32 {
        self.thousandths.div_ceil(1_000)
    }

    /// The number in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }
}

impl FromStr for DecimalValue {
    type Err = DecimalError;

    fn from_str(text: &str) -> Result<Self, DecimalError> {
        let number: f64 = text.trim().parse().map_err(|_| DecimalError)?;
        if !(0.0..=1_000_000.0).contains(&number) {
            return Err(DecimalError);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (number * UNITS).round() as u32;
        Ok(Self { thousandths })
    }
}
