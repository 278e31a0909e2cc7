//! Signals: SIGHUP moves discovery to the address that the configuration file names now, SIGTERM and SIGINT stop the
//! relay.

use crate::clients::ACCEPT_PAUSE;
use crate::dispatch::Event;
use crate::error::StartError;
use crate::startup::config::reload_discovery;
use crate::startup::state_dir::is_locked_by_another;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use log::{error, info};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Takes the signals over from the system's defaults, which would end the process.
pub(crate) fn subscribe() -> Result<Signals, StartError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)
}

/// Handles signals for as long as the process runs.
pub(crate) struct SignalHandler {
    /// Discovery's address now.
    pub(crate) discovery: SocketAddr,
    /// To each task that talks to discovery: its new address.
    pub(crate) discovery_moves: Vec<Sender<SocketAddr>>,
    pub(crate) events: Sender<Event>,
    /// Closed when client connections are to go.
    pub(crate) clients_leave: Sender<()>,
    /// True once this process is the active one: only that one hands over.
    pub(crate) is_active: Rc<Cell<bool>>,
    /// Where a successor holds its lock.
    pub(crate) successor_path: PathBuf,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) is_stopping: bool,
}

impl SignalHandler {
    /// Reads signals to the end of the process, also while it stops: discovery may move until then. An error of the
    /// stream is no reason to stop.
    pub(crate) async fn run(mut self, mut signals: Signals) {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => self.on_reload(),
                Some(Ok(_)) if self.is_stopping => info!("told to stop again, while stopping"),
                Some(Ok(_)) => self.on_stop().await,
                Some(Err(e)) => {
                    error!("signals: {e}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
                None => return error!("signals: no more of them can be read"),
            }
        }
    }

    fn on_reload(&mut self) {
        let address = match reload_discovery() {
            Ok(address) => address,
            Err(e) => return error!("the new configuration is not used: {e}"),
        };
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
        let how = if plan.hands_over { "with a process beside it" } else { "for a restart" };
        info!("told to stop, {how}");
        let _ = self.events.send(Event::StopRequested(plan)).await;
        let clients_leave = self.clients_leave.clone();
        let leave_later = async move {
            Timer::after(plan.accept_for).await;
            clients_leave.close();
        };
        self.executor.spawn(leave_later).detach();
    }
}
