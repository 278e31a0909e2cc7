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

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clients::Front;
use discovery::Follow;
use futures_lite::StreamExt;
use host::{Event, Host, Parts};
use log::{error, info};
use mountshift_orders::{Change, Orders};
use mountshift_spool::Spool;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After SIGTERM new connections still come for a while.
const ACCEPTED_ON: Duration = Duration::from_millis(500);
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
    match signals.and_then(|signals| run(signals, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            error!("not started: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut signals: Signals, start: config::Start) -> Result<(), String> {
    let folder = |e| format!("{}: {e}", start.state.display());
    let zone_room = start.sockets.zones.iter().map(String::len).max().unwrap_or(0) as u64;
    let legs = u64::from(start.facts.max_legs);
    let spool = Spool::open(&start.state, start.disk, legs, zone_room).map_err(folder)?;
    info!("{} starts with {} messages in its spool", start.name, spool.live().len());
    let executor = Rc::new(LocalExecutor::new());
    let events = async_channel::unbounded();
    let (notices, notices_out) = async_channel::unbounded();
    let (watch, watch_asked) = async_channel::bounded(1);
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let (watch_moves, watch_moved) = async_channel::unbounded();
    let (notices_move, notices_moved) = async_channel::unbounded();
    let open = Rc::new(Cell::new(0));
    let known = discovery::members(&start.known);
    let revision = known.as_ref().map(|list| list.revision);
    let must_ask = start.facts.must_watch;
    let started = Instant::now();
    let out_file = start.state.join("maintenance");
    let out_before = match std::fs::read_to_string(&out_file) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(format!("{}: {e}", out_file.display())),
    };
    let orders = Rc::new(RefCell::new(Orders::from_text(&out_before)));
    async_io::block_on(executor.run(async {
        let host = Host::new(Parts {
            facts: start.facts,
            sockets: start.sockets,
            spool,
            known,
            idle_most: start.descriptors / 4,
            executor: executor.clone(),
            events: events.clone(),
            notices,
            watch,
            clients: open.clone(),
            leaving: leaving.clone(),
            orders: orders.clone(),
            out_file,
        });
        let asked = must_ask.then_some(watch_asked);
        let events = events.0;
        let (listed, taken) = (events.clone(), events.clone());
        let listed = move |list| drop(listed.try_send(Event::List(list)));
        let follow = Follow {
            at: start.discovery,
            moved: watch_moved,
            revision,
            asked,
            most: start.memory / LIST_SHARE,
        };
        executor.spawn(follow.run(listed)).detach();
        let taken = move |msgs| drop(taken.try_send(Event::Noticed(msgs)));
        executor.spawn(notices::deliver(start.discovery, notices_moved, notices_out, taken)).detach();
        let listener =
            Async::<TcpListener>::bind(start.listen).map_err(|e| format!("{}: {e}", start.listen))?;
        let (handed, gone) = (events.clone(), events.clone());
        let front = Front {
            hand_in: Box::new(move |message, answer| drop(handed.try_send(Event::Message(message, answer)))),
            gone: Box::new(move |msg| drop(gone.try_send(Event::Gone(msg)))),
            leaving,
            most: start.descriptors / 2,
            bytes_most: start.memory / REQUESTS_SHARE,
            open,
            waiting: RefCell::default(),
            orders: orders.clone(),
            start: started,
            moved: RefCell::new(async_channel::bounded(1)),
        };
        let front = Rc::new(front);
        if let Some(at) = start.mgmt {
            let mgmt = Async::<TcpListener>::bind(at).map_err(|e| format!("mgmt {at}: {e}"))?;
            let (changed, front) = (events.clone(), front.clone());
            let changed = Box::new(move |change: Change| {
                if matches!(change, Change::Standby | Change::Active) {
                    front.standby_moved();
                }
                drop(changed.try_send(Event::Orders(change)));
            });
            let desk = mgmt::Desk { orders: orders.clone(), start: started, changed };
            executor.spawn(mgmt::serve(mgmt, Rc::new(desk), executor.clone())).detach();
            info!("operators' calls on {at}");
        }
        executor.spawn(clients::serve(listener, front, executor.clone())).detach();
        orders.borrow_mut().serving();
        info!("ready on {}", start.listen);
        let stop = async move {
            let mut at = start.discovery;
            while let Some(Ok(Signal::Hup)) = signals.next().await {
                match config::discovery() {
                    Ok(to) if to == at => info!("told to read the configuration: discovery stays at {to}"),
                    Ok(to) => {
                        info!("told to read the configuration: discovery moves from {at} to {to}");
                        at = to;
                        let _ = watch_moves.try_send(to);
                        let _ = notices_move.try_send(to);
                    }
                    Err(what) => error!("the new configuration is not used: {what}"),
                }
            }
            info!("told to stop");
            let _ = events.send(Event::Stop).await;
            Timer::after(ACCEPTED_ON).await;
            leave.close();
        };
        executor.spawn(stop).detach();
        host.run().await;
        Ok(())
    }))
}
