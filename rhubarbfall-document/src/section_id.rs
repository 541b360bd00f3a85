use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::{ParseIdError, TeamId};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

quick_error! {
    /// The reason why a text does not identify a section.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseSectionIdError {
        /// The text has none of the forms of a section's identifier.
        Unknown(text: String) {
            display("unknown section {text:?}, expected `fleet`, `keys` or `team.<id>`")
        }
        /// The part after `team.` is not a valid team identifier.
        BadTeam(error: ParseIdError) {
            display("{error}")
            from()
        }
    }
}

/// The identifier of a section, which is the unit of editing and versioning.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::SectionId;
///
/// let section: SectionId = "team.house-a".parse()?;
/// assert_eq!(section.to_string(), "team.house-a");
/// assert!("pools".parse::<SectionId>().is_err());
/// # Ok::<(), rhubarbfall_document::ParseSectionIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionId {
    /// Pools, services, queues and the limits of teams.
    Fleet,
    /// Granted keys.
    Keys,
    /// Section that this team owns.
    Team(TeamId),
}

impl fmt::Display for SectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.pad("fleet"),
            Self::Keys => f.pad("keys"),
            Self::Team(team) => f.pad(&format!("team.{team}")),
        }
    }
}

impl FromStr for SectionId {
    type Err = ParseSectionIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fleet" => Ok(Self::Fleet),
            "keys" => Ok(Self::Keys),
            _ => match text.strip_prefix("team.") {
                Some(team) => Ok(Self::Team(team.parse()?)),
                None => Err(ParseSectionIdError::Unknown(text.to_owned())),
            },
        }
    }
}

impl Serialize for SectionId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for SectionId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
