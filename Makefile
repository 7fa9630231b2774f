.PHONY: build demo test known-red known-red-run lint run binding conformance bench

# Unchanged clients of another language, for the tests: a DRMAA binding with its examples, and a Eureka client.
BINDING = target/binding

build:
	cargo build --release --locked

# A node between stand-ins, and some jobs for it.
demo: build
	cargo run --quiet --release --locked -p marbledeck-test-support --bin demo

# Tests that fail for a known fault: a line of KNOWN-RED.txt each, "test, `command with its seed`, what was seen, issue N".
# They are printed and left out, exactly these; all others have to pass.
KNOWN_RED = cargo run --quiet --locked -p marbledeck-test-support --bin known-red --

known-red:
	@$(KNOWN_RED) check

# Runs the command of each entry RUNS times, and prints how many of the runs failed.
RUNS = 10

known-red-run:
	@$(KNOWN_RED) run $(RUNS)

test: binding known-red
	skip_arguments=$$($(KNOWN_RED) skip-arguments) && \
		MARBLEDECK_BINDING=$(CURDIR)/$(BINDING) cargo test --locked -- $$skip_arguments
	RUSTFLAGS="--cfg loom" cargo test --locked --release --target-dir target/loom -p marbledeck-storage --test channel

binding: $(BINDING)/ready

$(BINDING)/ready:
	python3 -m venv $(BINDING)
	$(BINDING)/bin/pip install --quiet --disable-pip-version-check setuptools drmaa==0.7.9 py-eureka-client==0.13.3
	$(BINDING)/bin/pip download --quiet --disable-pip-version-check --no-deps --no-binary :all: -d $(BINDING) drmaa==0.7.9
	tar -xzf $(BINDING)/drmaa-0.7.9.tar.gz -C $(BINDING) --strip-components=1 drmaa-0.7.9/examples
	touch $@

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# Wants LB_CONFIG; ARGS may hold `--submission deploy/submission.toml`.
run: build
	target/release/marbledeck $(ARGS)

# Runs each clause of the specifications against a node, and writes the table.
conformance: build
	cargo run --release --locked -p marbledeck-conformance docs/conformance.md

# Measures the submission front on loopback, for some minutes; docs/benchmarks.md has the figures.
bench: build
	cargo run --release --locked -p marbledeck-test-support --bin submission-bench
	cargo run --release --locked -p marbledeck-test-support --bin eureka-bench
	cargo run --release --locked -p marbledeck-test-support --bin fleet-bench
	cargo test --release --locked -p marbledeck-consensus --test fleet figures -- --ignored --nocapture
	cargo bench --locked -p marbledeck-licensing
	MARBLEDECK_HISTORIES=1000 cargo test --release --locked -p marbledeck-consensus --test fleet no_two_versions
