//! The script of troubles: what goes wrong, from when to when, whom it strikes and how hard.

use crate::{Amount, Share, Span, TargetError};
use serde::{Deserialize, Serialize};

/// One trouble; troubles overlap freely.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedFault {
    /// What goes wrong.
    pub kind: ScriptedFaultKind,
    /// When it begins.
    pub from: Span,
    /// When it ends.
    pub to: Span,
    /// Whom it strikes: `*`, a group `banks`, a destination `banks/3`, an endpoint `banks/3#0`, `relays`,
    /// a relay `relay/2`.
    #[serde(rename = "who")]
    pub targets: Vec<String>,
    /// Of those only this share, drawn for the day: destinations, or endpoints where `per_endpoint` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Endpoints are drawn one by one.
    #[serde(rename = "each", default)]
    pub per_endpoint: bool,
    /// How hard: see [`ScriptedFaultKind::target_kind_and_description`] for what it means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<Amount>,
    /// Again and again: the time between two beginnings.
    #[serde(rename = "every", default, skip_serializing_if = "Option::is_none")]
    pub repeat_interval: Option<Span>,
    /// How long each occurrence lasts, where there are several.
    #[serde(rename = "lasts", default, skip_serializing_if = "Option::is_none")]
    pub occurrence_duration: Option<Span>,
    /// Only messages of this class.
    #[serde(rename = "lane", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// For relays cut off: from whom.
    #[serde(rename = "off", default, skip_serializing_if = "Vec::is_empty")]
    pub cut_from: Vec<String>,
}

macro_rules! kinds {
    ($($name:ident $target:ident [$($field:ident)*] $description:literal;)*) => {
        /// What can go wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ScriptedFaultKind {
            $(#[doc = $description] $name,)*
        }

        impl ScriptedFaultKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &[ScriptedFaultKind] = &[$(ScriptedFaultKind::$name,)*];

            /// What it does, and whom it strikes.
            pub fn target_kind_and_description(self) -> (TargetKind, &'static str) {
                match self {
                    $(ScriptedFaultKind::$name => (TargetKind::$target, $description),)*
                }
            }

            /// Which of the fields beside `kind`, `from`, `to` and `who` it needs.
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

/// The fields that a kind needs; it takes no others.
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

/// What a kind of trouble strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Endpoints.
    Endpoints,
    /// Relays.
    Relays,
}

kinds! {
    Errors Endpoints [level_fraction] "that part of the calls is answered with an error at once; half of those have run";
    Shut Endpoints [] "every call is refused, no wait told";
    Refuse Endpoints [] "connections are refused; calls at work end";
    Hang Endpoints [] "the process stands still: calls are taken in, run when it goes on";
    Silent Endpoints [] "no byte passes in either direction, then what waited does";
    Vanish Endpoints [] "the machine is gone without a word; it comes back cold";
    Crash Endpoints [] "the process dies: connections break, new ones are refused; it comes back cold";
    Slow Endpoints [level] "answers take this many times as long";
    Pauses Endpoints [repetition] "it stands still for a moment, again and again";
    HeavyTail Endpoints [level class] "one message in twenty of the lane takes this many times as long";
    Resets Endpoints [level_fraction] "that part of the answers breaks off: the call has run, its connection is reset";
    TablesFull Endpoints [] "no new connection is taken";
    ThrottleCount Endpoints [level] "a limit by count in fixed windows: this share of its rate, waits told truly";
    ThrottleRate Endpoints [level] "a limit by rate: this share of its rate, no wait told";
    ThrottleLies Endpoints [level] "a limit by rate: this share of its rate, waits told wrongly";
    ThrottleSpends Endpoints [level] "a limit by count that refused calls use up too, waits told truly";
    Stale Endpoints [level_fraction] "that part of the calls on idle connections is met by a reset";
    ListLate Endpoints [] "what the list would tell of them comes when this is over";
    ListWrong Endpoints [] "the list says that they are gone, though they are not";
    Drain Endpoints [] "listed as draining, gone when this is over, others in their place";
    Replace Endpoints [] "gone at once without a word, others in their place, listed when this is over";
    Readdress Endpoints [] "another id takes over the address at once, the list tells of both when this is over";
    WatchLost Relays [] "the list's changes do not reach them";
    Kill Relays [] "killed, started again from the spool when this is over";
    Waves Relays [repetition] "killed one after another, each started again";
    Stall Relays [] "no round is played; sockets go on taking";
    Cut Relays [cut_from] "no byte passes between them and some endpoints";
    ClockStep Relays [level] "the clock jumps ahead by so many seconds, and back when this is over";
}

/// Whom a trouble strikes, as written in `who`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// Every endpoint.
    All,
    /// A group, or only one of its destinations, or only one endpoint of that.
    Group(String, Option<u32>, Option<u32>),
    /// Every relay.
    Relays,
    /// The relay of this number.
    Relay(u32),
}

impl FaultTarget {
    /// Reads one entry of `who`.
    ///
    /// # Errors
    /// If a number is expected and something else is there.
    pub fn parse(text: &str) -> Result<FaultTarget, TargetError> {
        let number = |text: &str| text.parse::<u32>().map_err(|_| TargetError { text: text.into() });
        Ok(match (text, text.split_once('/')) {
            ("*", _) => FaultTarget::All,
            ("relays", _) => FaultTarget::Relays,
            (_, Some(("relay", which))) => FaultTarget::Relay(number(which)?),
            (_, Some((group, which))) => match which.split_once('#') {
                Some((which, endpoint)) => {
                    FaultTarget::Group(group.into(), Some(number(which)?), Some(number(endpoint)?))
                }
                None => FaultTarget::Group(group.into(), Some(number(which)?), None),
            },
            _ => FaultTarget::Group(text.into(), None, None),
        })
    }

    /// What the named are.
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
