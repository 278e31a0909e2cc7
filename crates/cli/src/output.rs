//! Output that the commands share: JSON, files and progress bars.

use crate::error::CliError;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

pub(crate) fn to_json(value: &impl serde::Serialize) -> Result<String, CliError> {
    Ok(serde_json::to_string_pretty(value)?)
}

pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(CliError::file(path))
}

/// Returns a progress bar over days, visible only if standard error is a terminal.
pub(crate) fn progress_bar(days: u64) -> ProgressBar {
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(days), target);
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {elapsed} of about {duration}")
    {
        bar.set_style(style);
    }
    bar
}
