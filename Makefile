.PHONY: help build test check demo bench generate

help:
	@echo "make demo | test | bench [BENCH=full] | build | check | generate"

build:
	go build -o bin/ ./cmd/...

check:
	sh scripts/check.sh

test: check
	go run ./scripts/testrun

generate:
	go generate ./internal/rpc

demo:
	go run ./demo

bench:
	sh scripts/bench.sh $(BENCH)
