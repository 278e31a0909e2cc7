//! The script of troubles: what goes wrong, from when to when, whom it strikes and how hard.

use crate::{Amount, Share, Span, TargetError};
use serde::{Deserialize, Serialize};

/// One trouble; troubles overlap freely.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What goes wrong.
    pub kind: TroubleKind,
    /// When it begins.
    pub from: Span,
    /// When it ends.
    pub to: Span,
    /// Whom it strikes: `*`, a group `banks`, a destination `banks/3`, an endpoint `banks/3#0`, `relays`,
    /// a relay `relay/2`.
    pub who: Vec<String>,
    /// Of those only this share, drawn for the day: destinations, or endpoints where `each` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Endpoints are drawn one by one.
    #[serde(default)]
    pub each: bool,
    /// How hard: see [`TroubleKind::strikes`] for what it means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<Amount>,
    /// Again and again: the time between two beginnings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<Span>,
    /// How long each occurrence lasts, where there are several.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lasts: Option<Span>,
    /// Only messages of this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lane: Option<String>,
    /// For relays cut off: from whom.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub off: Vec<String>,
}

macro_rules! kinds {
    ($($name:ident $strikes:ident [$($knob:ident)*] $what:literal;)*) => {
        /// What can go wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum TroubleKind {
            $(#[doc = $what] $name,)*
        }

        impl TroubleKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &[TroubleKind] = &[$(TroubleKind::$name,)*];

            /// What it does, and whom it strikes.
            pub fn strikes(self) -> (Strikes, &'static str) {
                match self {
                    $(TroubleKind::$name => (Strikes::$strikes, $what),)*
                }
            }

            /// Which of the fields beside `kind`, `from`, `to` and `who` it needs.
            pub fn knobs(self) -> Knobs {
                #[allow(unused_mut)]
                let mut knobs = Knobs::default();
                match self {
                    $(TroubleKind::$name => { $(knobs.$knob = true;)* })*
                }
                knobs
            }
        }
    };
}

/// The fields that a kind needs; it takes no others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knobs {
    /// `level`, from 0 to 1.
    pub part: bool,
    /// `level`, above 0.
    pub level: bool,
    /// `every` and `lasts`.
    pub every: bool,
    /// `lane`.
    pub lane: bool,
    /// `off`.
    pub off: bool,
}

/// What a kind of trouble strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strikes {
    /// Endpoints.
    Endpoints,
    /// Relays.
    Relays,
}

kinds! {
    Errors Endpoints [part] "that part of the calls is answered with an error at once; half of those have run";
    Shut Endpoints [] "every call is refused, no wait told";
    Refuse Endpoints [] "connections are refused; calls at work end";
    Hang Endpoints [] "the process stands still: calls are taken in, run when it goes on";
    Silent Endpoints [] "no byte passes in either direction, then what waited does";
    Vanish Endpoints [] "the machine is gone without a word; it comes back cold";
    Crash Endpoints [] "the process dies: connections break, new ones are refused; it comes back cold";
    Slow Endpoints [level] "answers take this many times as long";
    Pauses Endpoints [every] "it stands still for a moment, again and again";
    HeavyTail Endpoints [level lane] "one message in twenty of the lane takes this many times as long";
    Resets Endpoints [part] "that part of the answers breaks off: the call has run, its connection is reset";
    TablesFull Endpoints [] "no new connection is taken";
    ThrottleCount Endpoints [level] "a limit by count in fixed windows: this share of its rate, waits told truly";
    ThrottleRate Endpoints [level] "a limit by rate: this share of its rate, no wait told";
    ThrottleLies Endpoints [level] "a limit by rate: this share of its rate, waits told wrongly";
    ThrottleSpends Endpoints [level] "a limit by count that refused calls use up too, waits told truly";
    Stale Endpoints [part] "that part of the calls on idle connections is met by a reset";
    ListLate Endpoints [] "what the list would tell of them comes when this is over";
    ListWrong Endpoints [] "the list says that they are gone, though they are not";
    Drain Endpoints [] "listed as draining, gone when this is over, others in their place";
    Replace Endpoints [] "gone at once without a word, others in their place, listed when this is over";
    Readdress Endpoints [] "another id takes over the address at once, the list tells of both when this is over";
    WatchLost Relays [] "the list's changes do not reach them";
    Kill Relays [] "killed, started again from the spool when this is over";
    Waves Relays [every] "killed one after another, each started again";
    Stall Relays [] "no round is played; sockets go on taking";
    Cut Relays [off] "no byte passes between them and some endpoints";
    ClockStep Relays [level] "the clock jumps ahead by so many seconds, and back when this is over";
}

/// Whom a trouble strikes, as written in `who`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Whom {
    /// Every endpoint.
    All,
    /// A group, or only one of its destinations, or only one endpoint of that.
    Group(String, Option<u32>, Option<u32>),
    /// Every relay.
    Relays,
    /// The relay of this number.
    Relay(u32),
}

impl Whom {
    /// Reads one entry of `who`.
    ///
    /// # Errors
    /// If a number is expected and something else is there.
    pub fn read(text: &str) -> Result<Whom, TargetError> {
        let number = |text: &str| text.parse::<u32>().map_err(|_| TargetError { text: text.into() });
        Ok(match (text, text.split_once('/')) {
            ("*", _) => Whom::All,
            ("relays", _) => Whom::Relays,
            (_, Some(("relay", which))) => Whom::Relay(number(which)?),
            (_, Some((group, which))) => match which.split_once('#') {
                Some((which, endpoint)) => {
                    Whom::Group(group.into(), Some(number(which)?), Some(number(endpoint)?))
                }
                None => Whom::Group(group.into(), Some(number(which)?), None),
            },
            _ => Whom::Group(text.into(), None, None),
        })
    }

    /// What the named are.
    pub fn strikes(&self) -> Strikes {
        match self {
            Whom::Relays | Whom::Relay(_) => Strikes::Relays,
            _ => Strikes::Endpoints,
        }
    }
}

impl std::fmt::Display for TroubleKind {
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
