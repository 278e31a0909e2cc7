# What developers do here, by name. CI runs `.ci/run`, which is `make ci`.
STATE ?= target/state

.PHONY: build test lint doc fmt run toy send ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# The pages of all crates, in target/doc; a warning fails.
doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

fmt:
	cargo fmt --all

# A relay with the example configuration; start `make toy` beside it and submit messages by `make send`.
run: build
	mkdir -p $(STATE)
	NODE_CONFIG=examples/config.json NODE_STATE=$(STATE) target/release/mountshift-relay

toy:
	cargo run --locked --example toy -- serve

send:
	cargo run --locked --example toy -- send 20

ci:
	.ci/run
