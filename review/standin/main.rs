//! Plays one case of the review against real relay processes, with stand-ins for clients, endpoints and the platform.
//! `review-standin CASE RECORD`; `TROUBLE=0` leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

#![allow(dead_code)]

mod chain;
mod client;
mod endpoint;
mod http;
mod os;
mod platform;
mod record;
mod relay;

mod endless_answer;
mod foreign_id;
mod late_takeover;
mod probes;

use record::Record;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Time after which a case is given up; a run takes 120 s at most.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let _reserved = os::reserve_low_descriptors();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let Ok(record) = Record::create(path) else { return ExitCode::from(2) };
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let play = match case.as_str() {
        "foreign-id" => foreign_id::play,
        "late-takeover" => late_takeover::play,
        "probe-ended-id" => foreign_id::probe_ended,
        "probe-hang" => late_takeover::probe_hang,
        "probe-chain" => chain::play,
        "probe-waits" => probes::waits,
        "probe-kill-behind-yes" => probes::kill_behind_yes,
        "probe-standby" => probes::standby,
        "probe-maintenance" => probes::maintenance,
        "endless-answer" => endless_answer::play,
        _ => return ExitCode::from(2),
    };
    let (played, result) = std::sync::mpsc::channel();
    let for_case = record.clone();
    std::thread::spawn(move || played.send(play(&for_case, has_trouble)));
    let verdict = result.recv_timeout(TIME_LIMIT);
    match verdict.unwrap_or_else(|_| Verdict::NotRun("the case did not end".into())) {
        Verdict::Held => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(how) => {
            record.line(format!("verdict: the rule was broken: {how}"));
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            record.line(format!("verdict: the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
