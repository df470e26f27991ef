#!/bin/sh
# Checks formatting, vet, staticcheck, and, where protoc is installed, that the generated code is up to date.
set -e
unformatted=$(git ls-files '*.go' | grep -v '\.pb\.go$\|\.twirp\.go$' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
	echo "gofmt differs:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck ./...
if command -v protoc >/dev/null 2>&1; then
	fresh=$(mktemp -d)
	trap 'rm -rf "$fresh"' EXIT
	sh internal/rpc/generate.sh "$fresh"
	for file in "$fresh"/*.go; do
		# The generated header contains the protoc version, which may differ between machines.
		sed '/^\/\/.*protoc/d' "$file" >"$fresh/want"
		sed '/^\/\/.*protoc/d' "internal/rpc/$(basename "$file")" >"$fresh/have"
		cmp -s "$fresh/want" "$fresh/have" || { echo "generated code is not current: $(basename "$file")"; exit 1; }
	done
fi
echo "check: passed"
