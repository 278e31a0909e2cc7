//! Cost of simulated days of several sizes: the decisions, the invariant checker and the model together.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use mountshift_lab::day::{Day, DayOptions};
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_scenario::Scenario;
use std::hint::black_box;

fn days(c: &mut Criterion) {
    let mut group = c.benchmark_group("day");
    group.sample_size(10);
    for name in ["calm", "everything", "crowd-outage"] {
        let path = format!("{}/../../examples/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let scenario = Scenario::read(path.as_ref()).expect("a scenario");
        let options = DayOptions { policy: PolicyKind::Mountshift, seed: 1, keep_timeline: false };
        let messages = Day::new(&scenario, options).run().messages;
        group.throughput(Throughput::Elements(messages));
        group.bench_function(name, |b| b.iter(|| black_box(Day::new(&scenario, options).run())));
    }
    group.finish();
}

criterion_group!(benches, days);
criterion_main!(benches);
