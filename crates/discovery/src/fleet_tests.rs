//! A model of a discovery service that is short of capacity, and of many relays that poll it at the same time.
//!
//! Discovery serves polls in order, each for a service time. A poll that would wait longer than `MAX_QUEUE_WAIT`
//! is rejected. A poll that fails while it waits in the queue still costs discovery the service time.

use super::*;
use crate::Jitter;
use std::collections::BTreeSet;
use test_case::test_case;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(60);

/// The reaction of discovery to a poll that waits long in its queue.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Overload {
    /// It responds with an error `CLIENT_TIMEOUT` after the poll was sent.
    Errors,
    /// It responds late, unless the relay has given up the poll.
    LateResponses,
}

/// The event after which all relays of a fleet need a list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The relays are restarted together.
    Restart,
    /// The successors of all relays start together.
    Upgrade,
    /// Discovery is restarted, which breaks all watches.
    BrokenWatches,
    /// Discovery stops responding to the watches, right after they began.
    SilentWatches,
    /// Discovery breaks all watches and does not respond for this time.
    Outage(Duration),
}

impl Event {
    /// Returns the time at which discovery serves polls again.
    fn served_from(self) -> Duration {
        if let Event::Outage(duration) = self { duration } else { Duration::ZERO }
    }
}

/// A discovery service and the fleet that polls it.
struct Fleet {
    schedule: PollSchedule,
    relays: u32,
    service_time: Duration,
    overload: Overload,
    /// Seed of the jitter of the first relay; that of each further one is larger by 1.
    first_seed: u64,
}

/// A relay of the model.
struct Relay {
    jitter: Jitter,
    failures: u32,
    first_list: Option<Duration>,
}

/// Results of a run.
struct FleetRun {
    /// Time at which each relay receives its first list, or `None` if it does not receive one.
    first_lists: Vec<Option<Duration>>,
    polls: u32,
}

impl FleetRun {
    fn last(&self) -> Duration {
        self.first_lists.iter().map(|at| at.unwrap_or(Duration::MAX)).max().expect("a relay")
    }
}

impl Fleet {
    /// A fleet with this number of relays, each of which discovery can serve once in `round`.
    fn new(relays: u32, round: Duration, overload: Overload) -> Fleet {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        Fleet { schedule, relays, service_time: round / relays, overload, first_seed: 0 }
    }

    fn first_poll_at(&self, relay: &mut Relay, event: Event) -> Duration {
        let jitter = relay.jitter.sample();
        let elapsed = Duration::ZERO;
        match event {
            Event::Restart => self.schedule.initial_delay(jitter),
            Event::Upgrade => self.schedule.successor_delay(jitter),
            Event::BrokenWatches | Event::Outage(_) => {
                relay.failures = 1;
                self.schedule.retry_delay(1, PollFailure::NoResponse { elapsed }, jitter)
            }
            Event::SilentWatches => {
                relay.failures = 1;
                let watch = self.schedule.poll_timeouts(true, jitter).request_timeout;
                watch + self.schedule.retry_delay(1, PollFailure::SilentWatch, relay.jitter.sample())
            }
        }
    }

    /// Returns the time at which discovery responds with a list, or the failure of the poll.
    fn poll(&self, now: Duration, event: Event, free_at: &mut Duration) -> Result<Duration, PollFailure> {
        let request_timeout = self.schedule.poll_timeouts(false, 0.0).request_timeout;
        if now < event.served_from() {
            return Err(PollFailure::NoResponse { elapsed: request_timeout });
        }
        let answered_at = (*free_at).max(now) + self.service_time;
        if answered_at > now + MAX_QUEUE_WAIT {
            return Err(PollFailure::Rejected { elapsed: Duration::ZERO, retry_after: None });
        }
        *free_at = answered_at;
        let (timeout, failure) = match self.overload {
            Overload::Errors => {
                (CLIENT_TIMEOUT, PollFailure::Rejected { elapsed: CLIENT_TIMEOUT, retry_after: None })
            }
            Overload::LateResponses => {
                (request_timeout, PollFailure::NoResponse { elapsed: request_timeout })
            }
        };
        if answered_at <= now + timeout { Ok(answered_at) } else { Err(failure) }
    }

    fn run(&self, event: Event) -> FleetRun {
        let mut relays: Vec<Relay> = (0..self.relays)
            .map(|n| Relay {
                jitter: Jitter::new(self.first_seed + u64::from(n)),
                failures: 0,
                first_list: None,
            })
            .collect();
        let first_polls =
            relays.iter_mut().enumerate().map(|(n, relay)| (self.first_poll_at(relay, event), n));
        let mut polls: BTreeSet<(Duration, usize)> = first_polls.collect();
        let mut free_at = Duration::ZERO;
        let mut count = 0;
        while let Some((now, n)) = polls.pop_first().filter(|(at, _)| *at < event.served_from() + END) {
            count += 1;
            let relay = &mut relays[n];
            match self.poll(now, event, &mut free_at) {
                Ok(answered_at) => relay.first_list = Some(answered_at),
                Err(failure) => {
                    relay.failures += 1;
                    let delay = self.schedule.retry_delay(relay.failures, failure, relay.jitter.sample());
                    polls.insert((now + failure.elapsed() + delay, n));
                }
            }
        }
        FleetRun { first_lists: relays.iter().map(|relay| relay.first_list).collect(), polls: count }
    }
}

/// 350 relays are restarted together; discovery can serve each of them once in 6 s.
#[test]
fn large_fleet_restarted_together_gets_its_lists_within_the_poll_interval() {
    for relays in [20, 100, 350] {
        let run = Fleet::new(relays, Duration::from_secs(6), Overload::Errors).run(Event::Restart);
        assert!(run.last() <= POLL_INTERVAL, "{relays}: {:?}", run.last());
    }
}

/// Discovery can serve each relay once in 9 s, which is almost the whole poll interval. Some relays poll
/// twice, but all of them get their list.
#[test]
fn large_fleet_gets_its_lists_from_a_discovery_near_its_capacity() {
    let run = Fleet::new(350, Duration::from_secs(9), Overload::Errors).run(Event::Restart);
    assert!(run.last() <= POLL_INTERVAL * 4, "{:?}", run.last());
}

/// Whatever makes a fleet poll together, every relay gets its list from a discovery that can serve each of them
/// once in the poll interval. Guards against relays that keep discovery saturated with polls that fail.
#[test_case(Event::Restart; "restart")]
#[test_case(Event::Upgrade; "upgrade")]
#[test_case(Event::BrokenWatches; "broken watches")]
#[test_case(Event::SilentWatches; "silent watches")]
#[test_case(Event::Outage(Duration::from_secs(8)); "short outage")]
#[test_case(Event::Outage(Duration::from_secs(40)); "long outage")]
fn large_fleet_never_starves(event: Event) {
    for relays in [20, 40, 350, 900] {
        for round in [6, 9].map(Duration::from_secs) {
            for overload in [Overload::Errors, Overload::LateResponses] {
                let run = Fleet::new(relays, round, overload).run(event);
                let last = run.last().saturating_sub(event.served_from());
                assert!(
                    last <= END,
                    "{relays} relays, {round:?}, {overload:?}: {last:?}, {} polls",
                    run.polls
                );
            }
        }
    }
}

/// As `large_fleet_never_starves`, with a discovery that can serve each relay just once in the poll interval.
#[test]
fn large_fleet_never_starves_at_the_capacity_of_discovery() {
    let outages = [8, 40].map(|seconds| Event::Outage(Duration::from_secs(seconds)));
    let events = [Event::Restart, Event::Upgrade, Event::BrokenWatches, Event::SilentWatches];
    for event in events.into_iter().chain(outages) {
        for relays in [20, 40, 350, 900] {
            for overload in [Overload::Errors, Overload::LateResponses] {
                let run = Fleet::new(relays, POLL_INTERVAL, overload).run(event);
                let last = run.last().saturating_sub(event.served_from());
                assert!(
                    last <= END,
                    "{relays} relays, {event:?}, {overload:?}: {last:?}, {} polls",
                    run.polls
                );
            }
        }
    }
}

/// Checks that every relay of fleets of these sizes gets its list within `END`, whatever the jitter, from a discovery
/// that can serve each relay once in the poll interval.
fn assert_no_relay_starves_at_capacity(fleet_sizes: &[u32]) {
    let outages = [8, 40].map(|seconds| Event::Outage(Duration::from_secs(seconds)));
    let events = [Event::Restart, Event::Upgrade, Event::BrokenWatches, Event::SilentWatches];
    for event in events.into_iter().chain(outages) {
        for relays in fleet_sizes {
            for overload in [Overload::Errors, Overload::LateResponses] {
                for first_seed in (0..20).map(|n| n * 1_000) {
                    let fleet = Fleet { first_seed, ..Fleet::new(*relays, POLL_INTERVAL, overload) };
                    let starved = fleet.run(event).first_lists.iter().filter(|at| at.is_none()).count();
                    assert_eq!(starved, 0, "{relays} relays, {event:?}, {overload:?}, seed {first_seed}");
                }
            }
        }
    }
}

/// Guards against polls that are spread by the size of the fleet although discovery has rejected them repeatedly, and
/// against late responses to polls that were given up.
#[test]
fn fleet_of_ten_to_forty_relays_never_starves_at_the_capacity_of_discovery() {
    assert_no_relay_starves_at_capacity(&[10, 12, 16, 20, 30, 40]);
}

/// The same for the fleets whose first polls are hardly spread.
#[test]
fn fleet_of_seven_to_nine_relays_never_starves_at_the_capacity_of_discovery() {
    assert_no_relay_starves_at_capacity(&[7, 8, 9]);
}

/// Checks that the model reproduces the failure: without the spread most relays get no list within a minute.
#[test]
fn unspread_polls_of_a_large_fleet_keep_discovery_saturated() {
    let unspread = Fleet {
        schedule: PollSchedule::default(),
        relays: 350,
        service_time: Duration::from_secs(6) / 350,
        overload: Overload::Errors,
        first_seed: 0,
    };
    let never = unspread.run(Event::Restart).first_lists.iter().filter(|at| at.is_none()).count();
    assert!(never > 175, "{never}");
}

/// A small fleet polls immediately, and with the plain backoff after a failure.
#[test]
fn polls_of_a_small_fleet_are_not_spread() {
    let failure = PollFailure::NoResponse { elapsed: Duration::ZERO };
    for relays in [1, 3, 6] {
        let schedule = PollSchedule { relay_count: relays, poll_interval: POLL_INTERVAL };
        assert_eq!(schedule.initial_delay(1.0), Duration::ZERO, "{relays}");
        assert_eq!(schedule.successor_delay(1.0), Duration::ZERO, "{relays}");
        assert_eq!(schedule.retry_delay(1, failure, 0.5), INITIAL_BACKOFF, "{relays}");
        assert_eq!(schedule.poll_timeouts(true, 1.0).wait, POLL_INTERVAL, "{relays}");
    }
    // A poll interval out of range still lets every relay poll.
    let out_of_range = PollSchedule { relay_count: 350, poll_interval: Duration::MAX };
    assert!(
        out_of_range.initial_delay(1.0) < MAX_POLL_INTERVAL
            && out_of_range.retry_delay(40, PollFailure::UNEXPLAINED, 1.0) < MAX_POLL_INTERVAL * 2
    );
    // The polls of a large fleet are not spread either if the settings require no polling.
    assert_eq!(
        PollSchedule { relay_count: 350, poll_interval: Duration::ZERO }.initial_delay(1.0),
        Duration::ZERO
    );
}

/// The rule on drains allows one poll interval without a poll, and four after a failed poll.
#[test]
fn delays_stay_within_the_limits_of_the_rule_on_drains() {
    let schedule = PollSchedule { relay_count: 100_000, poll_interval: POLL_INTERVAL };
    let failure =
        PollFailure::Rejected { elapsed: CLIENT_TIMEOUT, retry_after: Some(Duration::from_secs(9_999)) };
    assert!(schedule.initial_delay(1.0) < POLL_INTERVAL);
    assert!(schedule.retry_delay(40, failure, 1.0) + CLIENT_TIMEOUT < POLL_INTERVAL * 4);
}
