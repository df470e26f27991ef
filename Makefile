.PHONY: build test check demo bench generate

build:
	go build -o bin/ ./cmd/...

check:
	sh scripts/check.sh

test: check
	go run ./scripts/testrun

generate:
	go generate ./internal/rpc
