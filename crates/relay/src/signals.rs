//! Signals: SIGHUP moves discovery to the address that the configuration file names now, SIGTERM and SIGINT stop the
//! relay.

use crate::clients::ACCEPT_PAUSE;
use crate::dispatch::Event;
use crate::startup::config::{ConfigError, reload_discovery};
use crate::startup::state_dir::is_locked_by_another;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use log::{error, info};
use mountshift_handover::RELOAD_RETRY_TIMEOUT;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A new configuration that can't be read is tried again after this pause.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The signals of a process that starts.
pub(crate) struct StartSignals {
    pub(crate) signals: Signals,
    /// When a new configuration was told while the process started: it may have read the old one.
    pub(crate) reload_pending_since: Option<Instant>,
}

impl StartSignals {
    /// Takes the signals over from the system's defaults, which would end the process.
    pub(crate) fn subscribe() -> io::Result<StartSignals> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(StartSignals { signals, reload_pending_since: None })
    }

    /// Waits until the process is told to stop.
    pub(crate) async fn stop_requested(&mut self) {
        loop {
            match self.signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    self.reload_pending_since = Some(Instant::now());
                }
                Some(Ok(_)) => return,
                Some(Err(_)) => drop(Timer::after(ACCEPT_PAUSE).await),
                None => std::future::pending().await,
            }
        }
    }
}

/// Handles signals for as long as the process runs.
pub(crate) struct SignalHandler {
    /// Discovery's address now.
    pub(crate) discovery: SocketAddr,
    /// To each task that talks to discovery: its new address.
    pub(crate) discovery_moves: Vec<Sender<SocketAddr>>,
    pub(crate) events: Sender<Event>,
    /// Closed when client connections are to go.
    pub(crate) clients_stopping: Sender<()>,
    /// True once this process is the active one: only that one hands over.
    pub(crate) is_active: Rc<Cell<bool>>,
    /// Where a successor holds its lock.
    pub(crate) successor_path: PathBuf,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) is_stopping: bool,
    /// Since when a new configuration could not be read.
    pub(crate) reload_pending_since: Option<Instant>,
}

/// What the handler waits for.
enum Wakeup {
    Signal(Option<io::Result<Signal>>),
    /// It is time to read the new configuration again.
    RetryReload,
}

impl SignalHandler {
    /// Reads signals to the end of the process, also while it stops: discovery may move until then. An error of the
    /// stream is no reason to stop.
    pub(crate) async fn run(mut self, mut signals: Signals) {
        loop {
            match self.next_wakeup(&mut signals).await {
                Wakeup::RetryReload => self.on_reload(),
                Wakeup::Signal(Some(Ok(Signal::Hup))) => {
                    self.reload_pending_since = None;
                    self.on_reload();
                }
                Wakeup::Signal(Some(Ok(_))) if self.is_stopping => {
                    info!("told to stop again, while stopping");
                }
                Wakeup::Signal(Some(Ok(_))) => self.on_stop().await,
                Wakeup::Signal(Some(Err(e))) => {
                    error!("signals: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
                Wakeup::Signal(None) => return error!("signals: no more of them can be read"),
            }
        }
    }

    async fn next_wakeup(&self, signals: &mut Signals) -> Wakeup {
        let signal = async { Wakeup::Signal(signals.next().await) };
        if self.reload_pending_since.is_none() {
            return signal.await;
        }
        let retry = async {
            Timer::after(RELOAD_RETRY_PAUSE).await;
            Wakeup::RetryReload
        };
        signal.or(retry).await
    }

    /// A file that can't be read as a whole may be so for a moment: the system is short of something, or it is being
    /// written.
    fn on_reload_failed(&mut self, error: &ConfigError) {
        if !error.is_retryable_at_reload() {
            self.reload_pending_since = None;
            return error!("the new configuration is not used: {error}");
        }
        match self.reload_pending_since {
            None => {
                error!("the new configuration is not used: {error}; it is tried again for a while");
                self.reload_pending_since = Some(Instant::now());
            }
            Some(since) if since.elapsed() < RELOAD_RETRY_TIMEOUT => {}
            Some(_) => {
                error!("the new configuration is given up: {error}");
                self.reload_pending_since = None;
            }
        }
    }

    fn on_reload(&mut self) {
        let address = match reload_discovery() {
            Ok(address) => address,
            Err(e) => return self.on_reload_failed(&e),
        };
        self.reload_pending_since = None;
        let before = self.discovery;
        if address == before {
            info!("told to read the configuration: discovery stays at {address}");
            return;
        }
        info!("told to read the configuration: discovery moves from {before} to {address}");
        self.discovery = address;
        for moves in &self.discovery_moves {
            let _ = moves.try_send(address);
        }
    }

    /// With a successor beside it an active process hands over; any other stop is for a restart.
    async fn on_stop(&mut self) {
        self.is_stopping = true;
        let has_successor = self.is_active.get() && is_locked_by_another(&self.successor_path);
        let plan = mountshift_handover::stop_plan(has_successor);
        let how = if plan.is_handover { "with a process beside it" } else { "for a restart" };
        info!("told to stop, {how}");
        let _ = self.events.send(Event::StopRequested(plan)).await;
        let clients_stopping = self.clients_stopping.clone();
        let leave_later = async move {
            Timer::after(plan.accept_duration).await;
            clients_stopping.close();
        };
        self.executor.spawn(leave_later).detach();
    }
}
