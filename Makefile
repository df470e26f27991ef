.PHONY: help build test check fuzz demo bench generate soak

SEED ?= 1
MINUTES ?= 5

help:
	@echo "make demo [ROWS=1] | test | bench [BENCH=full] | soak [SEED=1] [MINUTES=5] | build | check | fuzz [FUZZTIME=50000x] | generate"

build:
	go build -o bin/ ./cmd/...

check:
	sh scripts/check.sh

test: check fuzz
	go run ./scripts/testrun

FUZZTIME ?= 50000x

fuzz:
	sh scripts/fuzz.sh $(FUZZTIME)

generate:
	go generate ./internal/rpc

demo:
	go run ./demo $(if $(ROWS),--rows)

soak:
	go run ./soak --seed $(SEED) --minutes $(MINUTES) --quiet --keep soak-failed

bench:
	sh scripts/bench.sh $(BENCH)
