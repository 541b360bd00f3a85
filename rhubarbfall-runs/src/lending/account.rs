use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::{CustomerId, ParseIdError, WaveId};

use crate::Resources;

quick_error! {
    /// Why a text does not name an account.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseAccountError {
        /// The text does not begin with a known kind of account.
        UnknownKind {
            display("unknown kind of account")
        }
        /// The name of the customer or wave is not valid.
        BadName(cause: ParseIdError) {
            from()
            display("invalid name of an account: {cause}")
        }
    }
}

/// A limit of the whole fleet that cells share.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::lending::{Account, Dimension};
///
/// let account: Account = "cpu/house-a".parse()?;
/// assert_eq!(account, Account::Customer(Dimension::Cpu, "house-a".parse().unwrap()));
/// assert_eq!(account.to_string(), "cpu/house-a");
/// # Ok::<(), rhubarbfall_runs::lending::ParseAccountError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Account {
    /// What a customer may use of one kind of resource.
    Customer(Dimension, CustomerId),
    /// How many VMs may be down for a wave.
    Wave(WaveId),
}

/// A kind of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dimension {
    /// Processor, in thousandths of a core.
    Cpu,
    /// Memory, in megabytes.
    Memory,
    /// GPUs.
    Gpu,
}

impl Dimension {
    /// All kinds of resources.
    pub const ALL: [Self; 3] = [Self::Cpu, Self::Memory, Self::Gpu];

    /// Returns the amount of this kind.
    #[must_use]
    pub const fn of(self, resources: Resources) -> u64 {
        match self {
            Self::Cpu => resources.cpu_millis,
            Self::Memory => resources.memory_mb,
            Self::Gpu => resources.gpus,
        }
    }

    const fn prefix(self) -> &'static str {
        match self {
            Self::Cpu => "cpu/",
            Self::Memory => "mem/",
            Self::Gpu => "gpu/",
        }
    }
}

const WAVE_PREFIX: &str = "wave/";

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(dimension, customer) => write!(f, "{}{customer}", dimension.prefix()),
            Self::Wave(wave) => write!(f, "{WAVE_PREFIX}{wave}"),
        }
    }
}

impl FromStr for Account {
    type Err = ParseAccountError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(wave) = text.strip_prefix(WAVE_PREFIX) {
            return Ok(Self::Wave(wave.parse()?));
        }
        for dimension in Dimension::ALL {
            if let Some(customer) = text.strip_prefix(dimension.prefix()) {
                return Ok(Self::Customer(dimension, customer.parse()?));
            }
        }
        Err(ParseAccountError::UnknownKind)
    }
}
