#!/bin/sh
# Runs the benchmarks. Without an argument it runs the short set, which takes less than five minutes; "full" runs all of
# them, which takes about an hour. Results are printed and written to bench/results/.
set -e
results=bench/results
mkdir -p "$results"
show() {
	echo "== $*"
	"$@" 2>&1 | grep -v '^[IW][0-9]'
}
short() {
	show go run ./bench/overhead --duration 10s --rounds 2
	show go test ./internal/daemon -run '^$' -bench Call -benchtime 2s -cpu 4
	show go test ./internal/keys ./internal/attempt ./internal/balance -run '^$' -bench . -benchtime 0.5s
	show go run ./bench/overload --duration 5s
	show go run ./bench/failures --only "node killed" --after 18s
	show go run ./bench/failures --only "crashing" --after 6s
}
full() {
	show go run ./bench/overhead --duration 20s --rounds 5
	show go test ./internal/daemon -run '^$' -bench Call -benchtime 5s -cpu 4
	show go test ./... -run '^$' -bench . -benchtime 2s
	show go run ./bench/overload
	show go run ./bench/load
	show go run ./bench/control -members 10,30,100,300
	show go run ./bench/failures --outage 60s --after 75s
}
case "${1:-short}" in
short) short | tee "$results/short.txt" ;;
full) full | tee "$results/full.txt" ;;
*) echo "usage: make bench [BENCH=full]" >&2; exit 2 ;;
esac
