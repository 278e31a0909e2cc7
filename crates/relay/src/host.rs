//! Carries the decisions out: gathers what came into rounds, is the writer of the decisions, keeps the
//! spool in step. Everything runs on one thread.

use crate::clients::{Answer, HandedIn, Told, told};
use crate::discovery::{Member, Members};
use crate::endpoints::{self, Call, End, Endpoint, Endpoints, Ends, Idle, Part, Stage};
use crate::notices::Notice;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info, warn};
use mountshift::interface::*;
use mountshift::rules::DeliveryPolicy;
use mountshift_discovery::{AppliedList, DrainRecord, ListEntry, ListHeader};
use mountshift_handover::{RouteRecord, Snapshot, StopPlan};
use mountshift_maintenance::{Change, MaintenanceState};
use mountshift_settings::SocketSettings;
use mountshift_spool::{AcceptedMessage, FinalOutcome, Spool};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ids that are remembered beyond their end.
const ENDED_MOST: usize = 4_096;
/// Between two looks while stopping, and at idle connections else.
const STOP_LOOK: Duration = Duration::from_millis(20);
const SWEEP: Duration = Duration::from_millis(500);
/// At the end, for what clients are owed.
const LAST_WORDS: Duration = Duration::from_millis(80);
/// A round so late means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(100);

/// What came in.
pub enum Event {
    Message(HandedIn, Sender<Answer>),
    /// A client did not hear that its message was taken on.
    Gone(MessageId),
    /// Messages of a call have ended.
    Ended(u64, Ends),
    /// A call to this endpoint begins late: may it still be reached?
    Late(EndpointId, Sender<bool>),
    /// The list or its changes; or a call for it failed, with a wait if one was told.
    List(Result<Members, Option<Duration>>),
    /// The platform took these ends.
    Noticed(Vec<MessageId>),
    /// An operator's call changed the maintenance.
    Maintenance(Change),
    /// Told to stop, and how.
    Stop(StopPlan),
}

/// The clock of the decisions. It began before any leg that the spool still tells of.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix: Duration,
    lead: Duration,
}

impl Clock {
    fn new(oldest: Option<u64>) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let oldest = oldest.map_or(unix, Duration::from_millis);
        Clock { start: Instant::now(), unix, lead: unix.saturating_sub(oldest) }
    }

    fn at(&self, instant: Instant) -> Duration {
        self.lead + instant.saturating_duration_since(self.start)
    }

    fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(self.lead)
    }

    fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix + at).saturating_sub(self.lead).as_millis() as u64
    }

    fn at_unix_ms(&self, ms: u64) -> Duration {
        (Duration::from_millis(ms) + self.lead).saturating_sub(self.unix)
    }
}

fn number(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// A call that is out.
struct Out {
    to: EndpointId,
    sent: Duration,
    legs: BTreeSet<MessageId>,
    recalled: BTreeSet<MessageId>,
    stage: Rc<Cell<Stage>>,
    /// Dropping it closes the call's connection.
    task: Option<Task<()>>,
}

/// Takes the decisions and holds what they are about.
struct Desk {
    clock: Clock,
    now: Duration,
    settings: SocketSettings,
    batches: Vec<usize>,
    spool: Rc<RefCell<Spool>>,
    endpoints: Endpoints,
    idle: Rc<Idle>,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    notices: Sender<Notice>,
    watch: Sender<()>,
    by_name: BTreeMap<Vec<u8>, MessageId>,
    /// Ids of messages that ended lately, as numbers.
    ended: VecDeque<u64>,
    /// Messages that came for this round, and who waits for the answer.
    asking: BTreeMap<MessageId, Sender<Answer>>,
    sends: Vec<(EndpointId, Vec<(MessageId, Duration)>)>,
    late: Vec<(EndpointId, Sender<bool>)>,
    calls: BTreeMap<u64, Out>,
    count: u64,
    wake: Option<Duration>,
    /// The spool had no room for the last message.
    full: bool,
    maintenance: Rc<RefCell<MaintenanceState>>,
    /// Where the endpoints out by hand are written down.
    out_file: PathBuf,
    /// Where what outlives the process is written down for the next one.
    snapshot_file: PathBuf,
    /// Endpoints told as leaving, where that is written down, and in how many bytes at most.
    drain_record: DrainRecord,
    drain_record_file: PathBuf,
    drain_record_max_bytes: usize,
}

impl Actions for Desk {
    fn send(&mut self, msg: MessageId, to: EndpointId, limit: Duration) {
        match self.sends.iter_mut().find(|s| s.0 == to) {
            Some(send) => send.1.push((msg, limit)),
            None => self.sends.push((to, vec![(msg, limit)])),
        }
    }

    fn reject(&mut self, msg: MessageId, pause: Duration) -> bool {
        let ms = pause.as_millis() as u64;
        self.end(msg, Answer::PushedBack(ms), FinalOutcome::Rejected(ms))
    }

    fn fail(&mut self, msg: MessageId) -> bool {
        self.end(msg, Answer::Failed("failed"), FinalOutcome::Failed)
    }

    fn cancel(&mut self, msg: MessageId, _leg: AttemptNumber) {
        let Some((n, call)) = self.calls.iter_mut().find(|(_, c)| c.legs.contains(&msg)) else { return };
        call.recalled.insert(msg);
        // One message can't be taken out of a call: it would still be out on an open connection.
        if call.recalled.is_superset(&call.legs) {
            // Guards against a call told as one that may have run, though its last byte never left.
            let ran = call.stage.get() == Stage::Written;
            let outcome = if ran { Outcome::Cancelled } else { Outcome::NotSent };
            let ends: Vec<End> = call.legs.iter().map(|msg| (*msg, outcome, false)).collect();
            let _ = self.events.try_send(Event::Ended(*n, ends.into()));
            call.task = None;
        }
    }

    fn close_idle_connections(&mut self, to: EndpointId) {
        self.idle.close(to);
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.idle.close(endpoint);
        let name = self.endpoints.get(endpoint).map(|e| e.name.clone());
        let out = name.is_some_and(|name| self.maintenance.borrow().is_in_maintenance(&name));
        if let Some(gone) = self.endpoints.forget(endpoint, out) {
            info!("endpoint {} is forgotten{}", gone.name, if out { " while out by hand" } else { "" });
        }
    }

    fn wake_after(&mut self, after: Duration) {
        let at = self.now + after;
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }

    fn poll_endpoints(&mut self) {
        let _ = self.watch.try_send(());
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }

    fn persist_routes(&mut self, routes: &[RouteSnapshot]) {
        let ms = |at: Duration| if at.is_zero() { 0 } else { self.clock.unix_ms(at).max(1) };
        let route = |c: &RouteSnapshot| RouteRecord {
            destination: c.destination.0,
            endpoint: c.endpoint.and_then(|id| Some(self.endpoints.get(id)?.name.to_string())),
            retry_after_until_ms: ms(c.retry_after_until),
            open_until_ms: c.open_until.map(ms),
            slow_start_since_ms: c.slow_start_since.map(ms),
        };
        let routes = routes.iter().map(route).collect();
        debug!("carry at {}: {routes:?}", self.clock.unix_ms(self.now));
        let now = self.clock.unix_ms(self.now);
        let snapshot = Snapshot { format: mountshift_handover::FORMAT, written_ms: now, routes };
        if let Err(e) = write_anew(&self.snapshot_file, &snapshot.to_json()) {
            error!("{}: {e}", self.snapshot_file.display());
        }
    }
}

/// Writes a file whole or not at all.
pub fn write_anew(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path))
}

impl Desk {
    /// An end that is no delivery: the answer to a client that waits, else a notice. True if it is taken.
    fn end(&mut self, msg: MessageId, answer: Answer, owed: FinalOutcome) -> bool {
        if let Some(kept) = self.spool.borrow().get(msg.0) {
            let (id, legs) = (String::from_utf8_lossy(&kept.accepted.id), kept.attempts.len());
            debug!("message {id} ends undelivered: {owed:?} after {legs} legs, {}", kept.accepted.metadata);
        }
        if let Some(asking) = self.asking.remove(&msg) {
            let _ = asking.try_send(answer);
            self.over(msg);
            return true;
        }
        self.spool.borrow_mut().record_outcome(msg.0, owed);
        self.notify(msg, owed);
        false
    }

    fn notify(&mut self, msg: MessageId, end: FinalOutcome) {
        if let Some(kept) = self.spool.borrow().get(msg.0) {
            let _ = self.notices.try_send(Notice { msg, id: kept.accepted.id.clone(), end });
        }
    }

    fn over(&mut self, msg: MessageId) {
        let mut spool = self.spool.borrow_mut();
        if let Some(kept) = spool.get(msg.0) {
            self.by_name.remove(&kept.accepted.id);
            spool.remove(msg.0);
        }
    }

    /// Guards against an id that is handed in again after its end: every message has a new one, so whoever
    /// uses it hands in another's, and it would go out as a second copy.
    fn remember(&mut self, msg: MessageId) {
        let ended = self.spool.borrow().get(msg.0).map(|kept| number(&kept.accepted.id));
        self.ended.extend(ended);
        self.ended.drain(..self.ended.len().saturating_sub(ENDED_MOST));
    }

    /// What the decisions are told of a message; none if its lane is not known.
    fn hand_in(&self, told: &Told, key: u64, deadline: Duration) -> Option<Submission> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = ClassId(place(&self.settings.classes, &told.lane)? as u16);
        let tenant = told.tenant.as_deref().and_then(|t| place(&self.settings.tenants, t));
        // Guards against a tenant that nobody knows drawing on the share of the first one: it has none.
        let tenant = TenantId(tenant.map_or(u32::MAX, |t| t as u32));
        let key = (key != 0).then_some(OrderingKey(key));
        Some(Submission {
            class,
            tenant,
            destination: DestinationId(told.dst),
            key,
            deadline,
            restored: false,
        })
    }

    /// Takes an event in; what the decisions must know goes into `inputs`.
    fn take(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::Message(message, asking) => self.take_message(message, asking, inputs),
            // Its client will hand it in again: it is nobody's any more.
            Event::Gone(msg) => self.take_over(msg, inputs),
            Event::Ended(call, ends) => {
                if let Some(to) = self.calls.get(&call).map(|out| out.to) {
                    ends.wait
                        .into_iter()
                        .for_each(|wait| inputs.push(Input::RetryAfter { endpoint: to, span: wait }));
                    let name = self.settings.rate_limit_field.as_deref();
                    let limit =
                        name.zip(ends.report.as_deref()).and_then(|(name, text)| endpoints::told(text, name));
                    limit
                        .into_iter()
                        .for_each(|rate| inputs.push(Input::RateLimitReported { endpoint: to, rate }));
                }
                ends.ends.into_iter().for_each(|end| self.take_end(call, end, inputs));
            }
            Event::List(Ok(list)) => {
                self.take_list(list, inputs);
                inputs.push(Input::ListReceived);
            }
            Event::List(Err(wait)) => inputs.push(Input::PollFailed { retry_after: wait }),
            Event::Noticed(taken) => {
                taken.iter().for_each(|msg| self.remember(*msg));
                taken.into_iter().for_each(|msg| self.take_over(msg, inputs));
            }
            Event::Late(to, asking) => self.late.push((to, asking)),
            Event::Maintenance(change) => self.take_maintenance(change, inputs),
            Event::Stop(how) => {
                self.maintenance.borrow_mut().set_stopping();
                // A process beside this one takes over what is held: nothing more goes out from here.
                if how.hands_over {
                    info!("hands over to the process beside it");
                    inputs.push(Input::HandoverStarted);
                }
            }
        }
    }

    fn take_over(&mut self, msg: MessageId, inputs: &mut Vec<Input>) {
        self.over(msg);
        inputs.push(Input::Closed(msg));
    }

    fn take_message(&mut self, m: HandedIn, asking: Sender<Answer>, inputs: &mut Vec<Input>) {
        let deadline = self.clock.at(m.at) + m.told.left;
        let Some(hand_in) = self.hand_in(&m.told, m.key, deadline) else {
            let _ = asking.try_send(Answer::Failed("c names no class"));
            return;
        };
        // Guards against messages that nobody can ever take: they would be held until their deadline.
        if !self.endpoints.lists(hand_in.destination) {
            let _ = asking.try_send(Answer::Failed("dest is not on the list"));
            return;
        }
        if let Some(msg) = self.by_name.get(&m.id) {
            // Taken on already: the one that came first stands.
            info!("message {} came again while it is held", msg.0);
            let _ = asking.try_send(Answer::Held);
            return;
        }
        if self.ended.contains(&number(&m.id)) {
            let _ = asking.try_send(Answer::Failed("the id was used before"));
            return;
        }
        let at = self.clock.unix_ms(deadline);
        let taken = AcceptedMessage {
            id: m.id,
            key: m.key,
            metadata: m.list,
            deadline: at,
            body: m.body,
            accepted_at_us: unix_us(),
        };
        let name = taken.id.clone();
        let added = self.spool.borrow_mut().accept(taken);
        let Some(n) = added else {
            // Told once, or what clients do meanwhile would fill the log.
            if !std::mem::replace(&mut self.full, true) {
                warn!("spool: full with {} messages", self.spool.borrow().messages().len());
            }
            let _ = asking.try_send(Answer::PushedBack(0));
            return;
        };
        let msg = MessageId(n);
        self.full = false;
        self.by_name.insert(name, msg);
        self.asking.insert(msg, asking);
        inputs.push(Input::Submitted { message: msg, submission: hand_in });
    }

    fn take_end(&mut self, call: u64, (msg, outcome, over): End, inputs: &mut Vec<Input>) {
        let Some(out) = self.calls.get_mut(&call).filter(|out| out.legs.contains(&msg)) else { return };
        out.legs.remove(&msg);
        let (to, waited) = (out.to, self.now.saturating_sub(out.sent));
        let noted = out.stage.get() != Stage::Begun;
        if out.legs.is_empty() {
            self.calls.remove(&call);
        }
        if outcome.never_ran() && noted {
            self.spool.borrow_mut().record_not_run(msg.0);
        }
        if over {
            self.remember(msg);
            self.over(msg);
        }
        inputs.push(Input::AttemptEnded { message: msg, endpoint: to, waited, outcome, closed: over });
    }

    fn take_list(&mut self, mut list: Members, inputs: &mut Vec<Input>) {
        self.take_down(&mut list);
        if list.whole {
            inputs.push(Input::FullListBegins);
        }
        for member in &list.members {
            self.maintenance.borrow_mut().record_listed(&member.id);
            let (id, says, moved) = self.endpoints.learn(member);
            let says = self.as_ordered(&member.id, says);
            if moved {
                self.idle.close(id);
            }
            let Some(e) = self.endpoints.get(id) else { continue };
            let (dst, zone, kind, rate) = (e.dst, e.zone, e.kind, member.size);
            inputs.push(Input::EndpointListed(ListedEndpoint {
                endpoint: id,
                destination: dst,
                zone,
                kind,
                status: says,
                rate,
            }));
        }
    }

    /// Guards rule 3 against lists that are older than what was told: an endpoint told as leaving stays so,
    /// beyond this process too, until it is newly listed.
    fn take_down(&mut self, list: &mut Members) {
        let source = list.source.to_string();
        let now_ms = self.clock.unix_ms(self.now);
        let head = ListHeader { source: &source, revision: list.revision, whole: list.whole, now_ms };
        fn entry(m: &Member) -> ListEntry<'_> {
            ListEntry { id: &m.id, phase: m.phase, up_since_ms: m.up_since_ms }
        }
        let entries: Vec<ListEntry> = list.members.iter().map(entry).collect();
        let AppliedList { phases, kept_draining: old } = self.drain_record.apply(&head, &entries);
        if old > 0 {
            info!(
                "list {}: {old} entries say ready of endpoints told as leaving; they stay so",
                list.revision
            );
        }
        list.members.iter_mut().zip(phases).for_each(|(m, phase)| m.phase = phase);
        let Some(text) = self.drain_record.text_if_changed(self.drain_record_max_bytes) else { return };
        if let Err(e) = write_anew(&self.drain_record_file, &text) {
            error!("{}: {e}", self.drain_record_file.display());
        }
    }

    /// An endpoint out by hand is draining for this relay, whatever the list says (rule 3).
    fn as_ordered(&self, name: &str, status: EndpointStatus) -> EndpointStatus {
        if status == EndpointStatus::Ready && self.maintenance.borrow().is_in_maintenance(name) {
            EndpointStatus::Draining
        } else {
            status
        }
    }

    fn take_maintenance(&mut self, change: Change, inputs: &mut Vec<Input>) {
        let (Change::EndpointOut(name) | Change::EndpointBack(name)) = &change else { return };
        write_maintenance(&self.out_file, &self.maintenance.borrow());
        // Guards against an endpoint that the decisions forgot while it was out: put back, it is known again.
        let known = self.endpoints.id_of(name);
        let revived = known.is_none() && matches!(change, Change::EndpointBack(_));
        let Some(id) = known.or_else(|| revived.then(|| self.endpoints.revive(name)).flatten()) else {
            return;
        };
        let Some(e) = self.endpoints.get(id) else { return };
        let (dst, zone, kind, rate, says) = (e.dst, e.zone, e.kind, e.rate, self.as_ordered(name, e.listed));
        inputs.push(Input::EndpointListed(ListedEndpoint {
            endpoint: id,
            destination: dst,
            zone,
            kind,
            status: says,
            rate,
        }));
        if matches!(change, Change::EndpointBack(_)) {
            inputs.push(Input::EndpointRestarted(id));
        }
    }

    /// Tells what an earlier process of the relay left (rules 4 and 6 run on over an upgrade).
    fn restore_routes(&mut self, snapshot: Snapshot, inputs: &mut Vec<Input>) {
        let snapshot = snapshot.binding(self.clock.unix_ms(self.now));
        debug!("carried at {}: {}", self.clock.unix_ms(self.now), snapshot.to_json());
        let at = |ms: u64| {
            if ms == 0 { Duration::ZERO } else { self.clock.at_unix_ms(ms).max(Duration::from_millis(1)) }
        };
        let mut carried = Vec::new();
        for route in snapshot.routes {
            let endpoint = match &route.endpoint {
                None => None,
                Some(name) => match self.endpoints.id_of(name) {
                    Some(id) => Some(id),
                    None => continue,
                },
            };
            carried.push(RouteSnapshot {
                destination: DestinationId(route.destination),
                endpoint,
                retry_after_until: at(route.retry_after_until_ms),
                open_until: route.open_until_ms.map(at),
                slow_start_since: route.slow_start_since_ms.map(at),
            });
        }
        info!("carries {} routes over from the process before", carried.len());
        inputs.push(Input::RoutesRestored(carried));
    }

    /// Tells of everything that the spool holds from before.
    fn restore(&mut self, inputs: &mut Vec<Input>) {
        let kept: Vec<_> =
            self.spool.borrow().messages().iter().map(|(n, k)| (MessageId(*n), k.clone())).collect();
        for (msg, kept) in kept {
            self.by_name.insert(kept.accepted.id.clone(), msg);
            let deadline = self.clock.at_unix_ms(kept.accepted.deadline);
            let told = told(&kept.accepted.metadata).ok();
            let hand_in = told.and_then(|told| self.hand_in(&told, kept.accepted.key, deadline));
            // A class that the settings no longer hold: nobody could decide on it.
            let owed =
                kept.pending_outcome.or(if hand_in.is_none() { Some(FinalOutcome::Failed) } else { None });
            owed.into_iter().for_each(|end| self.notify(msg, end));
            let Some(hand_in) = hand_in.map(|h| Submission { restored: true, ..h }) else { continue };
            inputs.push(Input::Submitted { message: msg, submission: hand_in });
            if owed.is_some() {
                // Its end is not taken yet: it still holds back the rest of its key.
                inputs.push(Input::FinalAnswerPending(msg));
            }
            for leg in kept.attempts {
                let (zone, at) = (self.endpoints.zone(&leg.zone), self.clock.at_unix_ms(leg.at));
                inputs.push(Input::EarlierAttempt { message: msg, zone, at, may_have_run: leg.may_have_run });
            }
        }
    }

    /// Carries the round's decisions out: first into the spool, then onto the sockets.
    fn carry_out(&mut self) {
        let mut calls = Vec::new();
        for (to, legs) in std::mem::take(&mut self.sends) {
            let Some(endpoint) = self.endpoints.get(to).cloned() else { continue };
            let batch = self.batches.get(endpoint.kind.0 as usize).copied().unwrap_or(1);
            for legs in legs.chunks(batch) {
                calls.push((to, endpoint.clone(), legs.to_vec()));
            }
        }
        let safe = self.spool.borrow_mut().commit();
        if let Err(e) = &safe {
            error!("spool: {e}");
        }
        for (msg, asking) in std::mem::take(&mut self.asking) {
            if safe.is_ok() {
                let _ = asking.try_send(Answer::Taken(msg));
            } else {
                let _ = asking.try_send(Answer::PushedBack(0));
                let _ = self.events.try_send(Event::Gone(msg));
            }
        }
        for (to, endpoint, legs) in calls {
            self.count += 1;
            let n = self.count;
            let all = legs.iter().map(|(msg, _)| *msg).collect();
            let stage = Rc::new(Cell::new(Stage::Begun));
            let task = if safe.is_ok() {
                Some(self.start(n, to, endpoint, legs, stage.clone()))
            } else {
                // A leg that is not noted must not go out.
                let moot: Vec<End> = legs.iter().map(|(msg, _)| (*msg, Outcome::NotSent, false)).collect();
                let _ = self.events.try_send(Event::Ended(n, moot.into()));
                None
            };
            let out = Out { to, sent: self.now, legs: all, recalled: BTreeSet::new(), stage, task };
            self.calls.insert(n, out);
        }
    }

    fn start(
        &self,
        n: u64,
        to: EndpointId,
        endpoint: Endpoint,
        legs: Vec<(MessageId, Duration)>,
        stage: Rc<Cell<Stage>>,
    ) -> Task<()> {
        // A call is given up as a whole, so that none of its messages is out again while it is open, and at
        // the shortest limit: guards against an answer behind the deadline of one, which counts for none.
        let limit = legs.iter().map(|l| l.1).min().unwrap_or_default();
        let part = |(msg, _): &(MessageId, Duration)| {
            let spool = self.spool.borrow();
            let taken = &spool.get(msg.0)?.accepted;
            let idempotency_key = told(&taken.metadata).ok().and_then(|t| t.idempotency_key);
            Some(Part { msg: *msg, id: taken.id.clone(), idempotency_key, body: taken.body.clone() })
        };
        let parts = legs.iter().filter_map(part).collect();
        let (idle, events, late) = (self.idle.clone(), self.events.clone(), self.events.clone());
        let may_reach = Box::new(move || {
            let (tell, told) = async_channel::bounded(1);
            let _ = late.try_send(Event::Late(to, tell));
            told
        });
        let (connect, decided) = (self.settings.connect_timeout, Instant::now());
        let (spool, clock, zone) =
            (self.spool.clone(), self.clock, self.endpoints.zone_name(endpoint.zone).to_string());
        let note = Box::new(move || {
            let (mut spool, at) = (spool.borrow_mut(), clock.unix_ms(clock.at(Instant::now())));
            // Guards against a message that goes out behind its end, or that nobody wants any more.
            if !legs
                .iter()
                .all(|(msg, _)| spool.get(msg.0).is_some_and(|kept| kept.pending_outcome.is_none()))
            {
                return false;
            }
            legs.iter().for_each(|(msg, _)| spool.record_attempt(msg.0, &zone, at));
            // A leg that is not noted must not go out.
            let safe = spool.commit();
            if let Err(e) = &safe {
                error!("spool: {e}");
                legs.iter().for_each(|(msg, _)| spool.record_not_run(msg.0));
            }
            safe.is_ok()
        });
        let call = Call { to, endpoint, parts, limit, connect, decided, may_reach, note, stage };
        let tell = move |ends| drop(events.try_send(Event::Ended(n, ends)));
        self.executor.spawn(async move { call.run(&idle, tell).await })
    }
}

/// Now, Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Writes down the endpoints out by hand, for the next process and the one beside.
pub fn write_maintenance(path: &std::path::Path, maintenance: &MaintenanceState) {
    if let Err(e) = write_anew(path, &maintenance.to_text()) {
        error!("{}: {e}", path.display());
    }
}

/// What the host is made of.
pub struct Parts {
    pub policy_settings: PolicySettings,
    pub socket_settings: SocketSettings,
    pub spool: Spool,
    pub known: Option<Members>,
    pub idle_most: usize,
    pub executor: Rc<LocalExecutor<'static>>,
    pub events: (Sender<Event>, Receiver<Event>),
    pub notices: Sender<Notice>,
    pub watch: Sender<()>,
    /// Client connections open now, and closed once clients are to go.
    pub clients: Rc<Cell<usize>>,
    pub leaving: Receiver<()>,
    /// Closed shortly before the end: clients hear what they are owed, nothing more is read.
    pub end: Sender<()>,
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub out_file: PathBuf,
    /// What an earlier process left, and where this one writes it down.
    pub carried: Option<Snapshot>,
    pub snapshot_file: PathBuf,
    /// Endpoints told as leaving, to an earlier process too.
    pub drain_record: DrainRecord,
    pub drain_record_file: PathBuf,
    pub drain_record_max_bytes: usize,
}

pub struct Host {
    policy: DeliveryPolicy,
    desk: Desk,
    came: Receiver<Event>,
    stopping: Option<(Instant, StopPlan)>,
    clients: Rc<Cell<usize>>,
    leaving: Receiver<()>,
    end: Sender<()>,
}

impl Host {
    /// Makes the host and plays its first round, with what the spool and the list hold from before.
    pub fn new(parts: Parts) -> Host {
        let legs = parts.spool.messages().values().flat_map(|k| &k.attempts);
        let clock = Clock::new(legs.map(|l| l.at).min());
        let desk = Desk {
            clock,
            now: clock.at(Instant::now()),
            batches: parts.policy_settings.destination_kinds.iter().map(|k| k.max_batch.max(1)).collect(),
            endpoints: Endpoints::new(&parts.socket_settings),
            idle: Rc::new(Idle::new(parts.socket_settings.idle_timeout, parts.idle_most)),
            settings: parts.socket_settings,
            spool: Rc::new(RefCell::new(parts.spool)),
            executor: parts.executor,
            events: parts.events.0,
            notices: parts.notices,
            watch: parts.watch,
            by_name: BTreeMap::new(),
            ended: VecDeque::new(),
            asking: BTreeMap::new(),
            sends: Vec::new(),
            late: Vec::new(),
            calls: BTreeMap::new(),
            count: 0,
            wake: None,
            full: false,
            maintenance: parts.maintenance,
            out_file: parts.out_file,
            snapshot_file: parts.snapshot_file,
            drain_record: parts.drain_record,
            drain_record_file: parts.drain_record_file,
            drain_record_max_bytes: parts.drain_record_max_bytes,
        };
        let policy = DeliveryPolicy::new(parts.policy_settings);
        let mut host = Host {
            policy,
            desk,
            came: parts.events.1,
            stopping: None,
            clients: parts.clients,
            leaving: parts.leaving,
            end: parts.end,
        };
        let mut inputs = Vec::new();
        parts.known.into_iter().for_each(|list| host.desk.take_list(list, &mut inputs));
        inputs.push(Input::ListMayBeStale);
        parts.carried.into_iter().for_each(|snapshot| host.desk.restore_routes(snapshot, &mut inputs));
        host.desk.restore(&mut inputs);
        host.round(inputs);
        host
    }

    fn round(&mut self, inputs: Vec<Input>) {
        let now = self.desk.now;
        self.desk.wake.take_if(|at| *at <= now);
        self.policy.step(now, inputs, &mut self.desk);
        self.desk.carry_out();
        for (to, asking) in std::mem::take(&mut self.desk.late) {
            let _ = asking.try_send(self.policy.may_send_to(to, now));
        }
    }

    /// The last words: what has come by now is taken in, and clients hear of what was taken on for them. Guards
    /// against a delivery that is known to the process and not to the spool, whose message would be sent again, and
    /// against a message in the spool whose client never heard, and hands it in again.
    async fn finish(mut self) {
        self.end.close();
        let by = Instant::now() + LAST_WORDS;
        loop {
            // Everything that can go on has its turn meanwhile.
            Timer::after(STOP_LOOK / 4).await;
            let mut inputs = Vec::new();
            while let Ok(event) = self.came.try_recv() {
                self.desk.take(event, &mut inputs);
            }
            self.desk.carry_out();
            self.desk.late.clear();
            if Instant::now() >= by || (self.clients.get() == 0 && inputs.is_empty()) {
                break;
            }
        }
        // What was being written can't become whole any more.
        for out in self.desk.calls.values_mut().filter(|out| out.stage.get() == Stage::Noted) {
            out.task = None;
            out.legs.iter().for_each(|msg| self.desk.spool.borrow_mut().record_not_run(msg.0));
        }
        self.desk.carry_out();
        let kept = self.desk.spool.borrow().messages().len();
        info!("stopped with {} calls out, {kept} messages kept", self.desk.calls.len());
    }

    /// Plays rounds until the relay is told to stop and what is out has ended.
    pub async fn run(mut self) {
        let (mut swept, gap) = (Instant::now(), self.desk.settings.min_step_interval);
        loop {
            let wake = self.desk.wake.map(|at| self.desk.clock.instant(at));
            let sweep = swept + SWEEP;
            // What is left to do before the end must not wait for the next look.
            let sweep = if self.stopping.is_some() { Instant::now() + STOP_LOOK } else { sweep };
            let timer = async {
                Timer::at(wake.map_or(sweep, |w| w.min(sweep))).await;
                None
            };
            let first = async { self.came.recv().await.ok() }.or(timer).await;
            // All that comes within the shortest gap goes into one round.
            Timer::at(self.desk.clock.instant(self.desk.now) + gap).await;
            // Guards rule 3 on a core that stood still: what was told meanwhile is read before anything is decided.
            let due = wake.map_or(sweep, |w| w.min(sweep)) + gap;
            if Instant::now().saturating_duration_since(due) > STOOD_STILL {
                Timer::after(STOP_LOOK).await;
            }
            if swept.elapsed() >= SWEEP {
                self.desk.idle.close_old();
                swept = Instant::now();
            }
            let came: Vec<Event> =
                first.into_iter().chain(std::iter::from_fn(|| self.came.try_recv().ok())).collect();
            if let Some(how) =
                came.iter().find_map(|e| if let Event::Stop(how) = e { Some(*how) } else { None })
            {
                self.stopping = self.stopping.or(Some((Instant::now(), how)));
            }
            let due = self.desk.wake.is_some_and(|at| at <= self.desk.clock.at(Instant::now()));
            if came.is_empty() && !due && self.stopping.is_none() {
                continue;
            }
            self.desk.now = self.desk.clock.at(Instant::now());
            let mut inputs = Vec::new();
            came.into_iter().for_each(|event| self.desk.take(event, &mut inputs));
            let (stopped, how) = self
                .stopping
                .map_or((Duration::ZERO, mountshift_handover::RESTART), |(at, how)| (at.elapsed(), how));
            // In a handover the decisions go on, sending nothing: ends that fall due are still told.
            if stopped < how.send_for || how.hands_over {
                self.round(inputs);
            } else {
                // Nothing more is decided: ends are noted, what is held waits in the spool for the next start.
                self.desk.carry_out();
                self.desk.late.clear();
            }
            if self.stopping.is_some() {
                let clients_gone = self.leaving.is_closed() && self.clients.get() == 0;
                let kept = self.desk.spool.borrow().messages().len();
                let left = how.hands_over || stopped >= how.send_for || kept == 0;
                let done = clients_gone && self.desk.calls.is_empty() && left;
                if done || stopped >= how.end_by {
                    return self.finish().await;
                }
            }
        }
    }
}
