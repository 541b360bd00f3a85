use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Why a text does not name a cell.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseCellIdError {
        /// The text does not consist of the letter `c` and a number.
        Malformed {
            display("a cell is named by the letter c and its number")
        }
    }
}

/// Identifies a cell: a part of the submissions, workers and VMs that has an owner of its own.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::CellId;
///
/// let cell: CellId = "c3".parse()?;
/// assert_eq!(cell, CellId::new(3));
/// assert_eq!(cell.to_string(), "c3");
/// # Ok::<(), rhubarbfall_core::ParseCellIdError>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(u16);

impl CellId {
    /// The first cell, which every fleet has.
    pub const FIRST: Self = Self(0);

    /// Creates the identifier of a cell from its number.
    #[must_use]
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the number of the cell, from 0.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{}", self.0)
    }
}

impl FromStr for CellId {
    type Err = ParseCellIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix('c').ok_or(ParseCellIdError::Malformed)?;
        let number: u16 = digits.parse().map_err(|_| ParseCellIdError::Malformed)?;
        // One cell has one name.
        if number.to_string() == digits {
            Ok(Self(number))
        } else {
            Err(ParseCellIdError::Malformed)
        }
    }
}
