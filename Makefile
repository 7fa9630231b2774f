.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --all-targets -- -D warnings

# Wants LB_CONFIG; ARGS may hold `--submission deploy/submission.toml`.
run: build
	target/release/marbledeck $(ARGS)
