//! Scripted faults: their kinds, times, targets and severity.

use crate::{Amount, Share, Span, TargetError};
use serde::{Deserialize, Serialize};

/// Scripted fault. Faults may overlap.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedFault {
    /// Kind of fault.
    pub kind: ScriptedFaultKind,
    /// Start.
    pub from: Span,
    /// End.
    pub to: Span,
    /// Targets: `*` for all endpoints, a group `banks`, a destination `banks/3`, an endpoint `banks/3#0`, `relays`
    /// for all relays, or a relay `relay/2`.
    #[serde(rename = "who")]
    pub targets: Vec<String>,
    /// Share of the targets that is affected, drawn once for the day: from the destinations, or with `per_endpoint`
    /// from the endpoints.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Whether `share` is drawn for each endpoint separately.
    #[serde(rename = "each", default)]
    pub per_endpoint: bool,
    /// Severity; see [`ScriptedFaultKind::target_kind_and_description`] for its meaning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<Amount>,
    /// Time from the start of an occurrence to the start of the next, for faults that repeat.
    #[serde(rename = "every", default, skip_serializing_if = "Option::is_none")]
    pub repeat_interval: Option<Span>,
    /// Duration of each occurrence, for faults that repeat.
    #[serde(rename = "lasts", default, skip_serializing_if = "Option::is_none")]
    pub occurrence_duration: Option<Span>,
    /// Message class that is affected.
    #[serde(rename = "lane", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Endpoints that the relays are cut off from, written as in `who`.
    #[serde(rename = "off", default, skip_serializing_if = "Vec::is_empty")]
    pub cut_from: Vec<String>,
}

macro_rules! kinds {
    ($($name:ident $target:ident [$($field:ident)*] $description:literal;)*) => {
        /// Kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ScriptedFaultKind {
            $(#[doc = $description] $name,)*
        }

        impl ScriptedFaultKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &[ScriptedFaultKind] = &[$(ScriptedFaultKind::$name,)*];

            /// Returns the kind of target that the fault affects, and the description of the fault.
            pub fn target_kind_and_description(self) -> (TargetKind, &'static str) {
                match self {
                    $(ScriptedFaultKind::$name => (TargetKind::$target, $description),)*
                }
            }

            /// Returns the fields that it requires in addition to `kind`, `from`, `to` and `who`.
            pub fn required_fields(self) -> RequiredFields {
                #[allow(unused_mut)]
                let mut required = RequiredFields::default();
                match self {
                    $(ScriptedFaultKind::$name => { $(required.$field = true;)* })*
                }
                required
            }
        }
    };
}

/// Fields that a kind of fault requires; it allows no other optional ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequiredFields {
    /// `level`, from 0 to 1.
    pub level_fraction: bool,
    /// `level`, above 0.
    pub level: bool,
    /// `every` and `lasts`.
    pub repetition: bool,
    /// `lane`.
    pub class: bool,
    /// `off`.
    pub cut_from: bool,
}

/// Kind of target that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Endpoints.
    Endpoints,
    /// Relays.
    Relays,
}

kinds! {
    Errors Endpoints [level_fraction] "this share of the calls fails with an error at once; half of them have taken effect";
    Shut Endpoints [] "every call is rejected without Retry-After";
    Refuse Endpoints [] "new connections are refused; open ones are reset with their calls";
    Hang Endpoints [] "the process is paused: calls are received and run once it resumes";
    Silent Endpoints [] "no byte passes in either direction; pending bytes arrive once the fault ends";
    Vanish Endpoints [] "the machine disappears without closing connections; it returns in slow start";
    Crash Endpoints [] "the process exits: connections are reset, new ones refused; it returns in slow start";
    Slow Endpoints [level] "responses take this many times as long";
    Pauses Endpoints [repetition] "the process is paused repeatedly";
    HeavyTail Endpoints [level class] "one message in twenty of the lane takes this many times as long";
    Resets Endpoints [level_fraction] "this share of the responses is cut off: the call has run, its connection is reset";
    TablesFull Endpoints [] "no new connections are accepted";
    ThrottleCount Endpoints [level] "a limit by count in fixed windows, at this share of the rate; Retry-After is exact";
    ThrottleRate Endpoints [level] "a limit by rate, at this share of the rate; no Retry-After";
    ThrottleLies Endpoints [level] "a limit by rate, at this share of the rate; Retry-After is wrong";
    ThrottleSpends Endpoints [level] "a limit by count that rejected calls also use up; Retry-After is exact";
    Stale Endpoints [level_fraction] "this share of the calls on idle connections is reset";
    ListLate Endpoints [] "changes of these endpoints are listed only when the fault ends";
    ListWrong Endpoints [] "the endpoint list reports these endpoints as removed, although they still serve";
    Drain Endpoints [] "listed as draining and removed when the fault ends; replacements are listed at once";
    Replace Endpoints [] "removed without notice and replaced; both changes are listed when the fault ends";
    Readdress Endpoints [] "another endpoint id takes over the address at once; both changes are listed when the fault ends";
    WatchLost Relays [] "changes of the endpoint list do not reach the relays";
    Kill Relays [] "killed, and restarted from the spool when the fault ends";
    Waves Relays [repetition] "killed one after another, each restarted";
    Stall Relays [] "the process is paused; its sockets still accept data";
    Cut Relays [cut_from] "no byte passes between the relays and the endpoints in off";
    ClockStep Relays [level] "the clock jumps ahead by this many seconds, and back when the fault ends";
}

/// Target of a fault, as written in `who`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// Every endpoint.
    All,
    /// A group, or one destination of it, or one endpoint of that destination.
    Group(String, Option<u32>, Option<u32>),
    /// Every relay.
    Relays,
    /// The relay of this number.
    Relay(u32),
}

impl FaultTarget {
    /// Parses an entry of `who`.
    ///
    /// # Errors
    /// If a number is expected and the text is something else.
    pub fn parse(text: &str) -> Result<FaultTarget, TargetError> {
        let number = |text: &str| text.parse::<u32>().map_err(|_| TargetError { text: text.into() });
        Ok(match (text, text.split_once('/')) {
            ("*", _) => FaultTarget::All,
            ("relays", _) => FaultTarget::Relays,
            (_, Some(("relay", relay))) => FaultTarget::Relay(number(relay)?),
            (_, Some((group, member))) => match member.split_once('#') {
                Some((destination, endpoint)) => {
                    FaultTarget::Group(group.into(), Some(number(destination)?), Some(number(endpoint)?))
                }
                None => FaultTarget::Group(group.into(), Some(number(member)?), None),
            },
            _ => FaultTarget::Group(text.into(), None, None),
        })
    }

    /// Returns whether the target consists of endpoints or of relays.
    pub fn kind(&self) -> TargetKind {
        match self {
            FaultTarget::Relays | FaultTarget::Relay(_) => TargetKind::Relays,
            _ => TargetKind::Endpoints,
        }
    }
}

impl std::fmt::Display for ScriptedFaultKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut name = String::new();
        for c in format!("{self:?}").chars() {
            if c.is_ascii_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(c.to_ascii_lowercase());
        }
        f.pad(&name)
    }
}
