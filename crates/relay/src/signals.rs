//! Signal handling: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the relay.

use crate::clients::ACCEPT_PAUSE;
use crate::dispatch::Event;
use crate::reload::ConfigReloader;
use crate::shared_maintenance::SharedMaintenance;
use crate::startup::config::ConfigError;
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
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between attempts to read a new configuration.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Signals received during startup.
pub(crate) struct StartSignals {
    pub(crate) signals: Signals,
    /// Time of a SIGHUP received during startup, when the old configuration may already have been read.
    pub(crate) reload_pending_since: Option<Instant>,
}

impl StartSignals {
    /// Installs handlers in place of the default actions, which would end the process.
    pub(crate) fn subscribe() -> io::Result<StartSignals> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(StartSignals { signals, reload_pending_since: None })
    }

    /// Waits for SIGTERM or SIGINT; records the time of a SIGHUP received meanwhile.
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

/// Handles signals until the process exits.
pub(crate) struct SignalHandler {
    pub(crate) reloader: Rc<ConfigReloader>,
    pub(crate) maintenance: Rc<SharedMaintenance>,
    pub(crate) events: Sender<Event>,
    /// Channel that is closed when the relay stops accepting and starts to close client connections.
    pub(crate) clients_stopping: Sender<()>,
    /// Whether this process is the active one. Only the active process hands over.
    pub(crate) is_active: Rc<Cell<bool>>,
    /// Folder in which a successor holds its lock.
    pub(crate) successor_path: PathBuf,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) is_stopping: bool,
    /// Time since which a new configuration can't be read.
    pub(crate) reload_pending_since: Option<Instant>,
}

/// Event that wakes the handler.
enum Wakeup {
    Signal(Option<io::Result<Signal>>),
    /// It is time to check for a reload and for operators' commands of the other process, and to retry a failed reload of
    /// this process.
    CheckOtherProcess,
}

impl SignalHandler {
    /// Handles signals until the process exits, also while it is stopping, because the address of discovery may still
    /// change. Errors of the signal stream do not stop the process.
    pub(crate) async fn run(mut self, mut signals: Signals) {
        loop {
            match self.next_wakeup(&mut signals).await {
                Wakeup::CheckOtherProcess => self.check_other_process(),
                Wakeup::Signal(Some(Ok(Signal::Hup))) => {
                    self.reload_pending_since = None;
                    self.on_reload();
                }
                Wakeup::Signal(Some(Ok(_))) if self.is_stopping => {
                    info!("told to stop again while already stopping");
                }
                Wakeup::Signal(Some(Ok(_))) => self.on_stop().await,
                Wakeup::Signal(Some(Err(e))) => {
                    error!("signals: can't read the next signal: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
                Wakeup::Signal(None) => return error!("signals: the signal stream has ended"),
            }
        }
    }

    async fn next_wakeup(&self, signals: &mut Signals) -> Wakeup {
        let signal = async { Wakeup::Signal(signals.next().await) };
        let check = async {
            if self.reload_pending_since.is_some() {
                Timer::after(RELOAD_RETRY_PAUSE).await;
            } else {
                self.reloader.wait_for_check().await;
            }
            Wakeup::CheckOtherProcess
        };
        signal.or(check).await
    }

    fn check_other_process(&mut self) {
        if self.reload_pending_since.is_some() {
            self.on_reload();
        }
        self.reloader.follow_other_process();
        self.maintenance.follow_other_process();
    }

    /// Schedules a retry if the error may be temporary: the system lacks resources, or the file is being written.
    fn on_reload_failed(&mut self, error: &ConfigError) {
        if !error.is_retryable_at_reload() {
            self.reload_pending_since = None;
            return error!("the new configuration is not used: {error}");
        }
        match self.reload_pending_since {
            None => {
                error!("the new configuration is not used: {error}; will retry for a limited time");
                self.reload_pending_since = Some(Instant::now());
            }
            Some(since) if since.elapsed() < RELOAD_RETRY_TIMEOUT => {}
            Some(_) => {
                error!("the new configuration is ignored after repeated failures: {error}");
                self.reload_pending_since = None;
            }
        }
    }

    fn on_reload(&mut self) {
        match self.reloader.reload() {
            Ok(()) => self.reload_pending_since = None,
            Err(e) => self.on_reload_failed(&e),
        }
    }

    /// Stops the relay: an active process with a successor hands over, any other process prepares for a restart.
    async fn on_stop(&mut self) {
        self.is_stopping = true;
        let has_successor = self.is_active.get() && is_locked_by_another(&self.successor_path);
        if has_successor {
            self.reloader.set_has_other_process(true);
        }
        let plan = mountshift_handover::stop_plan(has_successor);
        let purpose = if plan.is_handover { "for a handover to its successor" } else { "for a restart" };
        info!("told to stop, {purpose}");
        let _ = self.events.send(Event::StopRequested(plan)).await;
        let clients_stopping = self.clients_stopping.clone();
        let leave_later = async move {
            Timer::after(plan.accept_duration).await;
            clients_stopping.close();
        };
        self.executor.spawn(leave_later).detach();
    }
}
