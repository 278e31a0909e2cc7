//! Stand-in of the platform: discovery with whole lists and watches, and the address that takes notices.

use crate::http;
use crate::record::Record;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub phase: &'static str,
    pub size: f64,
}

impl Member {
    pub fn json(&self) -> String {
        let Member { id, address, cell, phase, size } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"building-a","flavor":"major-host","cell":{cell},"phase":"{phase}","size":{size:.1},"up_since_ms":0}}"#
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// A notice of the final outcome of a message.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: Duration,
    pub id: String,
    pub state: String,
}

struct Catalog {
    revision: u64,
    /// Entries with the revision of their last change.
    entries: Vec<(u64, Member)>,
}

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    catalog: Arc<(Mutex<Catalog>, Condvar)>,
    notices: Arc<Mutex<Vec<Notice>>>,
}

impl Platform {
    pub fn start(record: &Record, revision: u64, members: &[Member]) -> Platform {
        let entries = members.iter().map(|member| (revision, member.clone())).collect();
        let catalog = Arc::new((Mutex::new(Catalog { revision, entries }), Condvar::new()));
        let notices: Arc<Mutex<Vec<Notice>>> = Arc::default();
        let (shared, taken, record) = (catalog.clone(), notices.clone(), record.clone());
        let address = http::serve(move |stream| serve_connection(stream, &shared, &taken, &record));
        Platform { address, catalog, notices }
    }

    /// Adds or replaces an entry, as a new revision.
    pub fn change(&self, member: Member) {
        let (catalog, changed) = &*self.catalog;
        let mut catalog = catalog.lock().unwrap();
        catalog.revision += 1;
        let revision = catalog.revision;
        catalog.entries.retain(|(_, known)| known.id != member.id);
        catalog.entries.push((revision, member));
        changed.notify_all();
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.notices.lock().unwrap().clone()
    }

    pub fn notice_of(&self, id: &str) -> Option<Notice> {
        self.notices().into_iter().find(|notice| notice.id == id)
    }
}

fn serve_connection(
    mut stream: TcpStream,
    catalog: &(Mutex<Catalog>, Condvar),
    notices: &Mutex<Vec<Notice>>,
    record: &Record,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    while let Some(request) = http::read_request(&mut reader) {
        let written = if request.target == "/status" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            for line in text.lines() {
                record.line(format!("platform: notice {line}"));
                let field = |name: &str| {
                    let start = format!("\"{name}\":\"");
                    let rest = line.split_once(&start).map_or("", |(_, rest)| rest);
                    rest.split('"').next().unwrap_or("").to_string()
                };
                let notice = Notice { at: record.elapsed(), id: field("id"), state: field("state") };
                notices.lock().unwrap().push(notice);
            }
            http::write_answer(&mut stream, 204, "", "")
        } else {
            let body = answer_list(&request.target, catalog);
            http::write_answer(&mut stream, 200, "Content-Type: application/json\r\n", &body)
        };
        if written.is_err() {
            return;
        }
    }
}

fn answer_list(target: &str, (catalog, changed): &(Mutex<Catalog>, Condvar)) -> String {
    let number = |name: &str| -> Option<u64> {
        let query = target.split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name)?.1.parse().ok()
    };
    let mut catalog = catalog.lock().unwrap();
    let Some(index) = number("index") else {
        let listed: Vec<Member> = catalog.entries.iter().map(|entry| entry.1.clone()).collect();
        let listed: Vec<Member> = listed.into_iter().filter(|member| member.phase != "Gone").collect();
        return list_json(catalog.revision, true, &listed);
    };
    let until = Instant::now() + Duration::from_millis(number("wait").unwrap_or(0).min(60_000));
    while catalog.revision <= index && Instant::now() < until {
        catalog = changed.wait_timeout(catalog, until - Instant::now()).unwrap().0;
    }
    let changes: Vec<Member> =
        catalog.entries.iter().filter(|entry| entry.0 > index).map(|entry| entry.1.clone()).collect();
    list_json(catalog.revision, false, &changes)
}
