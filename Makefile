# Development tasks. CI runs `.ci/run`, as `make ci` does.
STATE ?= target/state

.PHONY: build test lint doc fmt run toy send ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Builds the documentation of all crates in target/doc; warnings are errors.
doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

fmt:
	cargo fmt --all

# Runs a relay with the example configuration. `make toy` runs discovery and two destinations for it, `make send`
# submits messages.
run: build
	mkdir -p $(STATE)
	NODE_CONFIG=examples/config.json NODE_STATE=$(STATE) target/release/mountshift-relay

toy:
	cargo run --locked --example toy -- serve

send:
	cargo run --locked --example toy -- send 20

ci:
	.ci/run
