//! Reloads of the configuration at run time: a SIGHUP to this process, or to the other process of the relay during an
//! upgrade.

use crate::clock::monotonic_now;
use crate::startup::config::{ConfigError, StartConfig, reload_discovery};
use crate::state_files::StateFiles;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use log::{error, info};
use mountshift_handover::{RELOAD_CHECK_INTERVAL, Reload, ReloadState, ReloadStep, Role};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// Reads new configurations, and informs the tasks that use discovery of changes of its address.
pub(crate) struct ConfigReloader {
    state: RefCell<ReloadState>,
    files: StateFiles,
    /// Address of discovery in the configuration file when it was last read.
    file_discovery: Cell<Option<SocketAddr>>,
    /// Channels of the tasks that need new addresses of discovery.
    moves: Vec<Sender<SocketAddr>>,
    /// Whether another process of the relay runs. A lone process needs no checks.
    has_other_process: Cell<bool>,
    /// Channel on which the start of another process is announced.
    other_process_started: (Sender<()>, Receiver<()>),
    /// Whether the last attempt to publish a reload failed and this has been logged.
    is_failure_logged: Cell<bool>,
}

impl ConfigReloader {
    pub(crate) fn new(
        config: &StartConfig,
        role: Role,
        files: StateFiles,
        moves: Vec<Sender<SocketAddr>>,
    ) -> ConfigReloader {
        let configured = Reload::new(config.discovery, config.read_at);
        let published = files.published_reload().ok().flatten();
        let is_successor = role == Role::Successor;
        ConfigReloader {
            state: RefCell::new(ReloadState::at_start(configured, is_successor, published, monotonic_now())),
            files,
            file_discovery: Cell::new(config.file_discovery),
            moves,
            has_other_process: Cell::new(is_successor),
            other_process_started: async_channel::bounded(1),
            is_failure_logged: Cell::default(),
        }
    }

    /// Records whether another process of the relay runs.
    pub(crate) fn set_has_other_process(&self, has_other_process: bool) {
        let before = self.has_other_process.replace(has_other_process);
        if has_other_process && !before {
            let _ = self.other_process_started.0.try_send(());
        }
    }

    /// Waits until it is time to check for a reload of the other process: after an interval, or once there is one.
    pub(crate) async fn wait_for_check(&self) {
        if self.has_other_process.get() {
            Timer::after(RELOAD_CHECK_INTERVAL).await;
        } else {
            let _ = self.other_process_started.1.recv().await;
        }
    }

    /// Reads the configuration anew, and publishes it to the other process of the relay.
    ///
    /// # Errors
    /// If the configuration can't be read.
    pub(crate) fn reload(&self) -> Result<(), ConfigError> {
        let reload = reload_discovery()?;
        self.apply("told to reload the configuration", reload);
        Ok(())
    }

    /// Follows the other process of the relay if it has read a later configuration than this one.
    pub(crate) fn follow_other_process(&self) {
        let Ok(published) = self.files.published_reload() else { return };
        let before = self.state.borrow().discovery();
        let step = self.state.borrow_mut().compare(published);
        match step {
            ReloadStep::Keep => {}
            ReloadStep::Follow(reload) => {
                self.move_discovery(
                    "another process of this relay has reloaded the configuration",
                    before,
                    reload,
                );
            }
            ReloadStep::Publish(reload) => self.publish(&reload),
        }
    }

    /// Reads the configuration at a takeover if it was replaced during the upgrade: its SIGHUP may have reached the
    /// previous process right before that exited.
    pub(crate) fn reload_if_replaced(&self) {
        self.follow_other_process();
        let Ok(reload) = reload_discovery() else { return };
        if Some(reload.discovery) != self.file_discovery.get() {
            self.apply("the configuration was replaced during the upgrade", reload);
        }
    }

    fn apply(&self, reason: &str, reload: Reload) {
        let before = self.state.borrow().discovery();
        self.file_discovery.set(Some(reload.discovery));
        self.state.borrow_mut().record(reload);
        self.move_discovery(reason, before, reload);
        self.publish(&reload);
    }

    fn move_discovery(&self, reason: &str, before: SocketAddr, reload: Reload) {
        let address = reload.discovery;
        if address == before {
            info!("{reason}: discovery stays at {address}");
            return;
        }
        info!("{reason}: discovery moves from {before} to {address}");
        for moves in &self.moves {
            let _ = moves.try_send(address);
        }
    }

    /// Publishes a reload. If that fails, the next check finds that it is not published.
    fn publish(&self, reload: &Reload) {
        let published = self.files.publish_reload(reload);
        if let Err(e) = &published
            && !self.is_failure_logged.get()
        {
            error!("can't tell the other process of this relay of the new configuration: {e}; will retry");
        }
        self.is_failure_logged.set(published.is_err());
    }
}
