//! Distinct types for sizes, points in time, durations and counters.

#[cfg(test)]
mod tests;

use std::{fmt, ops::Add, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The error for a text that does not parse as a quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

fn unit_error(text: &str, expected: &'static str) -> UnitError {
    UnitError { text: text.to_owned(), expected }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| unit_error(text, "a whole number"))
            }
        }
    };
}

counter!(
    /// A number of requests that a VM can run side by side.
    Slots,
    u32
);
counter!(
    /// The place of an accepted configuration in the sequence of all accepted ones.
    Generation,
    u64
);
counter!(
    /// The fencing token of one term of ownership; a later term has a greater one.
    Epoch,
    u64
);
counter!(
    /// Distinguishes the runs of a node's process; a later run has a greater number.
    Incarnation,
    u64
);

impl Generation {
    /// The generation that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A point in time, in milliseconds since an origin that the caller chooses.
///
/// Only timestamps from the same clock may be compared. Control state uses a monotonic clock, so
/// that a step of the wall clock can't prolong a lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Timestamp {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A duration in milliseconds, written `250ms`, `30s`, `5m`, `2h` or `28d`.
///
/// Declarations and settings contain durations; state contains the [`Timestamp`] computed from one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Span(pub u64);

const SPAN_UNITS: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

impl Span {
    /// Converts the duration to the standard library's type.
    #[must_use]
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_with_unit(&SPAN_UNITS, self.0, f)
    }
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let expected = "a length of time such as \"250ms\", \"30s\" or \"28d\"";
        parse_with_unit(&SPAN_UNITS, text).map(Self).ok_or_else(|| unit_error(text, expected))
    }
}

/// Unit names with their sizes, in descending order of size.
type Units = [(&'static str, u64)];

/// Writes a quantity in the largest unit of which it is a multiple.
fn format_with_unit(units: &Units, quantity: u64, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let divides = |size: u64| quantity != 0 && quantity.is_multiple_of(size);
    let unit = units.iter().find(|&&(_, size)| divides(size)).or(units.last());
    let (name, size) = unit.copied().unwrap_or(("", 1));
    write!(f, "{}{name}", quantity / size)
}

/// Parses a whole number followed by a unit; `None` if the unit is unknown or the value overflows.
fn parse_with_unit(units: &Units, text: &str) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, size) = units.iter().find(|&&(name, _)| name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*size)
}

/// A size in bytes, written `512MiB` or `64KiB`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct ByteSize(pub u64);

const BYTE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_with_unit(&BYTE_UNITS, self.0, f)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let expected = "a size such as \"64KiB\" or \"2GiB\"";
        parse_with_unit(&BYTE_UNITS, text).map(Self).ok_or_else(|| unit_error(text, expected))
    }
}

/// The share of time during which a service must be available, written `99.95%`.
///
/// Stored in thousandths of a percent, so that comparisons are exact.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Availability(u32);

const MILLI_PERCENT: f64 = 1_000.0;

impl Availability {
    /// How long the service may be unavailable in each `period`.
    #[must_use]
    pub fn budget(self, period: Span) -> Span {
        Span(period.0 / 100_000 * u64::from(100_000 - self.0))
    }
}

impl fmt::Display for Availability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / MILLI_PERCENT)
    }
}

impl FromStr for Availability {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || unit_error(text, "a share of time from \"0%\" to below \"100%\"");
        let number = text.strip_suffix('%').ok_or_else(invalid)?;
        let percent: f64 = number.parse().map_err(|_| invalid())?;
        if !(0.0..100.0).contains(&percent) {
            return Err(invalid());
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "0..100000")]
        let milli_percent = (percent * MILLI_PERCENT).round() as u32;
        Ok(Self(milli_percent.min(99_999)))
    }
}

macro_rules! text_schema {
    ($name:ident, $pattern:literal) => {
        impl schemars::JsonSchema for $name {
            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({"type": "string", "pattern": $pattern})
            }
        }
    };
}

text_schema!(Span, "^[0-9]+(ms|s|m|h|d)$");
text_schema!(ByteSize, "^[0-9]+(B|KiB|MiB|GiB)$");
text_schema!(Availability, "^[0-9]{1,2}(\\.[0-9]+)?%$");
