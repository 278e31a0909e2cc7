//! The relay on sockets: clients hand messages in, endpoints get them, the decisions are mountshift's.
#![forbid(unsafe_code)]

mod clients;
mod config;
mod discovery;
mod endpoints;
mod host;
mod http;
mod mgmt;
mod notices;
mod reception;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clients::Front;
use discovery::Follow;
use futures_lite::StreamExt;
use host::{Event, Host, Parts};
use log::{error, info, warn};
use mountshift::interface::MessageId;
use mountshift_discovery::{DRAIN_RECORD_DISK_SHARE, DRAIN_RECORD_FILE, DrainRecord, ReadDrainRecord};
use mountshift_handover::{
    ACTIVE_DISK_SHARE, LOCK_FILE, Role, SNAPSHOT_FILE, SUCCESSOR_DIR, SUCCESSOR_DISK_SHARE, Side, Snapshot,
    reads_snapshot,
};
use mountshift_maintenance::{Change, MaintenanceState};
use mountshift_spool::{FinalOutcome, Spool, StoredMessage};
use notices::Notice;
use reception::{Ended, Reception};
use std::cell::{Cell, RefCell};
use std::fs::{File, TryLockError};
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;
/// A list may take one part in so many of the memory, and so may all requests that are not whole.
const LIST_SHARE: usize = 32;
const REQUESTS_SHARE: usize = 8;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    // Guards against an end by a signal that comes before anything else is ready.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"));
    let start = match config::read(|name| std::env::var(name).ok()) {
        Ok(start) => start,
        Err(what) => {
            // Bad input: one plain line, exit 2.
            error!("not started: {what}");
            return ExitCode::from(2);
        }
    };
    match signals.map_err(NotStarted::failure).and_then(|signals| run(signals, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(NotStarted { code, what }) => {
            error!("not started: {what}");
            ExitCode::from(code)
        }
    }
}

/// Why the relay did not start, and its exit code: 2 for bad input, 1 else.
struct NotStarted {
    code: u8,
    what: String,
}

impl NotStarted {
    fn failure(what: String) -> NotStarted {
        NotStarted { code: 1, what }
    }

    fn bad_input(what: String) -> NotStarted {
        NotStarted { code: 2, what }
    }
}

/// Takes the lock in `dir` for as long as the file is open: true if it is this process's.
fn lock(dir: &Path) -> Result<(File, bool), String> {
    let path = dir.join(LOCK_FILE);
    let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    match file.try_lock() {
        Ok(()) => Ok((file, true)),
        Err(TryLockError::WouldBlock) => Ok((file, false)),
        Err(TryLockError::Error(e)) => Err(format!("{}: {e}", path.display())),
    }
}

/// True if another process holds the lock in `dir`.
fn held_by_another(dir: &Path) -> bool {
    let file = File::open(dir.join(LOCK_FILE));
    file.is_ok_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)))
}

/// The clients' listening socket: the platform's, inherited as `run` names it, or bound here.
fn listener(start: &config::Start) -> Result<Async<TcpListener>, NotStarted> {
    let Some(fd) = start.accept_fd else {
        let bound = Async::<TcpListener>::bind(start.listen);
        return bound.map_err(|e| NotStarted::failure(format!("{}: {e}", start.listen)));
    };
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let taken = taken.map_err(|e| format!("descriptor {fd}: {e}")).and_then(|l| {
        l.ok_or(format!("descriptor {fd} is not named to the program (LISTEN_FDS, LISTEN_FDS_FIRST_FD)"))
    });
    let taken = taken.map_err(NotStarted::bad_input)?;
    Async::new(taken).map_err(|e| NotStarted::bad_input(format!("descriptor {fd}: {e}")))
}

/// The endpoints out by hand as written down; none is, if nothing is.
fn read_out(path: &Path) -> Result<String, NotStarted> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        Err(e) => Err(NotStarted::failure(format!("{}: {e}", path.display()))),
    }
}

/// What an earlier process left of its destinations; none if nothing. Guards against a taker that ends over a file
/// that it can't read, when the owner has ended: nobody would serve. It goes on as after a restart.
fn carried(state: &Path) -> Option<Snapshot> {
    let path = state.join(SNAPSHOT_FILE);
    let read = match std::fs::read(&path) {
        Ok(bytes) => Snapshot::from_json(&String::from_utf8_lossy(&bytes)).map_err(|e| e.to_string()),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => Err(e.to_string()),
    };
    read.map_err(|e| {
        error!("{}: {e}; waits and breakers of the process before are not known", path.display())
    })
    .ok()
}

/// What earlier processes were told of endpoints that leave. A book that can't be read ends nothing: what is
/// left of it counts, and discovery is asked before anything goes out.
fn drain_record(state: &Path) -> DrainRecord {
    let path = state.join(DRAIN_RECORD_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(e) => {
            error!("{}: {e}", path.display());
            String::new()
        }
    };
    let ReadDrainRecord { record: drain_record, unreadable_lines: bad } = DrainRecord::from_text(&text);
    if bad > 0 {
        error!("{}: {bad} lines can't be read and are left out", path.display());
    }
    drain_record
}

/// Makes the owner's spool one with what a taker took in beside it, in the order in which all was taken on,
/// before any number of it is used. What does not fit ends by a notice. The taker's spool is gone after.
fn merge_successor_spool(
    spool: &mut Spool,
    next: Spool,
    next_dir: &Path,
    notices: &async_channel::Sender<Notice>,
) -> Result<(), String> {
    let (owner, taker): (Vec<StoredMessage>, Vec<StoredMessage>) =
        (spool.messages().values().cloned().collect(), next.messages().values().cloned().collect());
    fn times(side: &[StoredMessage]) -> Vec<(&[u8], u64)> {
        side.iter().map(|k| (&k.accepted.id[..], k.accepted.accepted_at_us)).collect()
    }
    let order = mountshift_handover::merge(&times(&owner), &times(&taker));
    let merged = order
        .iter()
        .map(|(side, i)| if *side == Side::Active { owner[*i].clone() } else { taker[*i].clone() });
    let left = spool.replace_all(merged.collect()).map_err(|e| format!("spool: {e}"))?;
    for kept in left {
        warn!(
            "spool: no room for message {} of the process before; it ends as failed",
            String::from_utf8_lossy(&kept.accepted.id)
        );
        let _ = notices.try_send(Notice {
            msg: MessageId(u64::MAX),
            id: kept.accepted.id,
            end: FinalOutcome::Failed,
        });
    }
    info!("took over {} messages taken in beside the owner", taker.len());
    drop(next);
    let path = next_dir.join(mountshift_spool::FILE_NAME);
    std::fs::remove_file(&path).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(mut signals: Signals, start: config::Start) -> Result<(), NotStarted> {
    let listener = listener(&start)?;
    let folder = |e| NotStarted::failure(format!("{}: {e}", start.state.display()));
    let zone_room = start.socket_settings.zones.iter().map(String::len).max().unwrap_or(0) as u64;
    let legs = u64::from(start.policy_settings.max_attempts);
    let share = |of: f64| (start.disk as f64 * of) as u64;
    let next_dir = start.state.join(SUCCESSOR_DIR);
    std::fs::create_dir_all(&next_dir).map_err(|e| folder(e.into()))?;
    let (owner_lock, owner_free) = lock(&start.state).map_err(NotStarted::failure)?;
    let (taker_lock, taker_free) = lock(&next_dir).map_err(NotStarted::failure)?;
    let taker_spool = next_dir.join(mountshift_spool::FILE_NAME).exists();
    let role = mountshift_handover::role(owner_free, taker_free, taker_spool)
        .map_err(|e| NotStarted::failure(format!("{}: {e}", start.state.display())))?;
    info!("{} starts as {role:?}", start.name);
    let executor = Rc::new(LocalExecutor::new());
    let events = async_channel::unbounded();
    let (notices, notices_out) = async_channel::unbounded();
    let (watch, watch_asked) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let (end, ending) = async_channel::bounded::<()>(1);
    let (watch_moves, watch_moved) = async_channel::unbounded();
    let (notices_move, notices_moved) = async_channel::unbounded();
    let open = Rc::new(Cell::new(0));
    let known = discovery::members(&start.known, start.discovery);
    if known.is_none() {
        warn!("the configuration's known list can't be read; discovery is asked for the whole list");
    }
    let revision = known.as_ref().map(|list| list.revision);
    let must_ask = start.policy_settings.must_poll;
    let started = Instant::now();
    let out_file = start.state.join("maintenance");
    let maintenance = Rc::new(RefCell::new(MaintenanceState::from_text(&read_out(&out_file)?)));
    known.iter().flat_map(|list| &list.members).for_each(|m| maintenance.borrow_mut().record_listed(&m.id));
    let lanes = start.socket_settings.classes.clone();
    async_io::block_on(executor.run(async {
        let events_in = events.0.clone();
        let (listed, taken) = (events_in.clone(), events_in.clone());
        let listed = move |list| drop(listed.try_send(Event::List(list)));
        let follow = Follow {
            at: start.discovery,
            moved: watch_moved,
            revision,
            asked: must_ask.then_some(watch_asked),
            most: start.memory / LIST_SHARE,
            chance: mountshift_discovery::Jitter::new(start.policy_settings.seed),
            terms: mountshift_discovery::PollSchedule {
                relay_count: start.policy_settings.relay_count,
                poll_interval: if must_ask {
                    start.policy_settings.poll_interval
                } else {
                    Default::default()
                },
            },
            heard: false,
        };
        executor.spawn(follow.run(listed)).detach();
        let taken = move |msgs| drop(taken.try_send(Event::Noticed(msgs)));
        executor.spawn(notices::deliver(start.discovery, notices_moved, notices_out, taken)).detach();
        let (handed, gone) = (events_in.clone(), events_in.clone());
        let front = Front {
            hand_in: Box::new(move |message, answer| drop(handed.try_send(Event::Message(message, answer)))),
            gone: Box::new(move |msg| drop(gone.try_send(Event::Gone(msg)))),
            leaving: leaving.clone(),
            ending,
            most: start.descriptors / 2,
            bytes_most: start.memory / REQUESTS_SHARE,
            open: open.clone(),
            waiting: RefCell::default(),
            maintenance: maintenance.clone(),
            start: started,
            moved: RefCell::new(async_channel::bounded(1)),
        };
        let front = Rc::new(front);
        if let Some(at) = start.mgmt {
            let mgmt =
                Async::<TcpListener>::bind(at).map_err(|e| NotStarted::failure(format!("mgmt {at}: {e}")))?;
            let (changed, front) = (events_in.clone(), front.clone());
            let changed = Box::new(move |change: Change| {
                if matches!(change, Change::Standby | Change::Active) {
                    front.standby_moved();
                }
                drop(changed.try_send(Event::Maintenance(change)));
            });
            let desk = mgmt::Desk { maintenance: maintenance.clone(), start: started, changed };
            executor.spawn(mgmt::serve(mgmt, Rc::new(desk), executor.clone())).detach();
            info!("operators' calls on {at}");
        }
        executor.spawn(clients::serve(listener, front, executor.clone())).detach();
        let (stop_events, stop_dir, owns) = (events_in.clone(), next_dir.clone(), Rc::new(Cell::new(false)));
        let leave_all = leave.clone();
        let (owned, stop_executor) = (owns.clone(), executor.clone());
        let stop = async move {
            let (mut at, mut stopping) = (start.discovery, false);
            // Signals are read to the end. Guards against a move of discovery that comes while stopping and is missed,
            // and against an error of the stream taken for an order to stop.
            loop {
                match signals.next().await {
                    Some(Ok(Signal::Hup)) => match config::discovery() {
                        Ok(to) if to == at => {
                            info!("told to read the configuration: discovery stays at {to}")
                        }
                        Ok(to) => {
                            info!("told to read the configuration: discovery moves from {at} to {to}");
                            at = to;
                            let _ = watch_moves.try_send(to);
                            let _ = notices_move.try_send(to);
                        }
                        Err(what) => error!("the new configuration is not used: {what}"),
                    },
                    Some(Ok(_)) if stopping => info!("told to stop again, while stopping"),
                    Some(Ok(_)) => {
                        stopping = true;
                        // An owner with a taker beside it hands over; else this is a restart.
                        let how = mountshift_handover::stop_plan(owned.get() && held_by_another(&stop_dir));
                        info!(
                            "told to stop, {}",
                            if how.hands_over { "with a process beside it" } else { "for a restart" }
                        );
                        let _ = stop_events.send(Event::Stop(how)).await;
                        let leave_all = leave_all.clone();
                        let leave_later = async move {
                            Timer::after(how.accept_for).await;
                            leave_all.close();
                        };
                        stop_executor.spawn(leave_later).detach();
                    }
                    Some(Err(e)) => {
                        error!("signals: {e}");
                        Timer::after(clients::ACCEPT_PAUSE).await;
                    }
                    None => return error!("signals: no more of them can be read"),
                }
            }
        };
        executor.spawn(stop).detach();
        maintenance.borrow_mut().set_serving();
        info!("ready on {}", start.listen);
        let mut spool = Spool::open(&start.state, share(ACTIVE_DISK_SHARE), legs, zone_room).map_err(folder);
        let mut stash = Vec::new();
        match role {
            Role::Active { merge_successor: true } => {
                let next =
                    Spool::open(&next_dir, share(SUCCESSOR_DISK_SHARE), legs, zone_room).map_err(folder)?;
                if let Ok(spool) = spool.as_mut() {
                    merge_successor_spool(spool, next, &next_dir, &notices).map_err(NotStarted::failure)?;
                }
            }
            Role::Active { merge_successor: false } => {}
            Role::Successor => {
                drop(spool);
                let next =
                    Spool::open(&next_dir, share(SUCCESSOR_DISK_SHARE), legs, zone_room).map_err(folder)?;
                info!("another process owns the state folder: takes in beside it");
                let (leave, clients) = (leave.clone(), open.clone());
                let (owner_lock, file) = (&owner_lock, out_file.clone());
                let mut taker = Reception {
                    spool: next,
                    owner_lock,
                    lanes,
                    maintenance: maintenance.clone(),
                    out_file: file,
                    leave,
                    clients,
                };
                stash = match taker.run(&events.1).await {
                    Ended::Stopped => return Ok(()),
                    Ended::Owns(stash) => stash,
                };
                let next = taker.spool;
                let mut owned =
                    Spool::open(&start.state, share(ACTIVE_DISK_SHARE), legs, zone_room).map_err(folder)?;
                merge_successor_spool(&mut owned, next, &next_dir, &notices).map_err(NotStarted::failure)?;
                // What the owner wrote down since this process started.
                maintenance.borrow_mut().reload(&read_out(&out_file)?);
                spool = Ok(owned);
            }
        }
        drop(taker_lock);
        let spool = spool?;
        // Guards against waits of a process long gone being read at the next handover.
        if !reads_snapshot(role) {
            match std::fs::remove_file(start.state.join(SNAPSHOT_FILE)) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => error!("{SNAPSHOT_FILE}: {e}"),
                _ => {}
            }
        }
        owns.set(true);
        info!("{} starts with {} messages in its spool", start.name, spool.messages().len());
        let host = Host::new(Parts {
            policy_settings: start.policy_settings,
            socket_settings: start.socket_settings,
            spool,
            known,
            idle_most: start.descriptors / 4,
            executor: executor.clone(),
            events: events.clone(),
            notices,
            watch,
            clients: open.clone(),
            leaving: leaving.clone(),
            end,
            maintenance: maintenance.clone(),
            out_file,
            carried: if reads_snapshot(role) { carried(&start.state) } else { None },
            snapshot_file: start.state.join(SNAPSHOT_FILE),
            drain_record: drain_record(&start.state),
            drain_record_file: start.state.join(DRAIN_RECORD_FILE),
            drain_record_max_bytes: share(DRAIN_RECORD_DISK_SHARE) as usize,
        });
        stash.into_iter().for_each(|event| drop(events_in.try_send(event)));
        host.run().await;
        Ok(())
    }))
}
