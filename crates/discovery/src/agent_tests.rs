//! A model of one discovery that is short of room, and of many relays that come back at one moment. It takes
//! calls in turn, each for as long as its capacity tells; a call answered later than `GIVEN_UP` after it was
//! made is lost to its relay and was work all the same; a call that would wait beyond `QUEUE` is turned away.

use super::*;
use crate::Jitter;

const GIVEN_UP: Duration = Duration::from_secs(2);
const QUEUE: Duration = Duration::from_secs(6);
const ASK_WITHIN: Duration = Duration::from_secs(10);

/// When each relay has heard its first list; none within `end`.
fn heard(terms: PollSchedule, relays: u32, each_takes: Duration, end: Duration) -> Vec<Option<Duration>> {
    let mut chances: Vec<Jitter> = (0..relays).map(|n| Jitter::new(u64::from(n))).collect();
    let mut failures = vec![0; relays as usize];
    let mut heard = vec![None; relays as usize];
    let first = chances.iter_mut().enumerate().map(|(n, c)| (terms.first_pause(c.draw()), n));
    let mut calls: std::collections::BTreeSet<(Duration, usize)> = first.collect();
    let mut free_at = Duration::ZERO;
    while let Some((now, n)) = calls.pop_first().filter(|(at, _)| *at < end) {
        let answered = free_at.max(now) + each_takes;
        let turned_away = answered > now + QUEUE;
        if !turned_away {
            free_at = answered;
        }
        if answered <= now + GIVEN_UP {
            heard[n] = Some(answered);
            continue;
        }
        failures[n] += 1;
        let known_at = if turned_away { now } else { now + GIVEN_UP };
        calls.insert((known_at + terms.retry_pause(failures[n], None, chances[n].draw()), n));
    }
    heard
}

/// 350 relays restarted together against a discovery that bears each of them once in 6 s.
#[test]
fn a_crowd_that_restarts_together_is_heard_within_the_span_to_ask_in() {
    for relays in [20, 100, 350] {
        let terms = PollSchedule { relay_count: relays, poll_interval: ASK_WITHIN };
        let each = Duration::from_secs(6) / relays;
        let heard = heard(terms, relays, each, Duration::from_secs(60));
        let last = heard.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
        assert!(last <= ASK_WITHIN, "{relays}: {last:?}");
    }
}

/// Where each call takes more than half of what the span allows, some come twice but all are heard.
#[test]
fn a_crowd_is_heard_by_a_discovery_that_bears_hardly_more_than_it_must() {
    let terms = PollSchedule { relay_count: 350, poll_interval: ASK_WITHIN };
    let heard = heard(terms, 350, Duration::from_secs(9) / 350, Duration::from_secs(60));
    let last = heard.iter().map(|at| at.unwrap_or(Duration::MAX)).max().unwrap();
    assert!(last <= ASK_WITHIN * 4, "{last:?}");
}

/// The model shows what it guards against: asked without the spread most are not heard within a minute.
#[test]
fn without_the_spread_the_same_crowd_keeps_discovery_full() {
    let each = Duration::from_secs(6) / 350;
    let heard = heard(PollSchedule::default(), 350, each, Duration::from_secs(60));
    let never = heard.iter().filter(|at| at.is_none()).count();
    assert!(never > 175, "{never}");
}

/// Few relays ask at once, and after a failure as before.
#[test]
fn few_relays_do_not_wait() {
    for relays in [1, 3, 6] {
        let terms = PollSchedule { relay_count: relays, poll_interval: ASK_WITHIN };
        assert_eq!(terms.first_pause(1.0), Duration::ZERO, "{relays}");
        assert_eq!(terms.retry_pause(1, None, 0.5), FIRST, "{relays}");
    }
    // A span told out of range still lets every relay ask.
    let ages = PollSchedule { relay_count: 350, poll_interval: Duration::MAX };
    assert!(ages.first_pause(1.0) < WITHIN_MOST && ages.retry_pause(40, None, 1.0) < WITHIN_MOST * 2);
    // Nor do many where lists come unasked.
    assert_eq!(
        PollSchedule { relay_count: 350, poll_interval: Duration::ZERO }.first_pause(1.0),
        Duration::ZERO
    );
}

/// The rule on drains: no longer without asking than told, and four times that after a failed call.
#[test]
fn no_pause_is_longer_than_the_rule_on_drains_allows() {
    let terms = PollSchedule { relay_count: 100_000, poll_interval: ASK_WITHIN };
    assert!(terms.first_pause(1.0) < ASK_WITHIN);
    assert!(terms.retry_pause(40, Some(Duration::from_secs(9_999)), 1.0) + GIVEN_UP < ASK_WITHIN * 4);
}
