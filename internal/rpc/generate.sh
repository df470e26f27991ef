#!/bin/sh
# Regenerates the committed protobuf and twirp code. Needs protoc; the plugins are tools of this module.
set -e
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
out=${1:-.}
PATH="$tools:$PATH" protoc --go_out=paths=source_relative:"$out" --twirp_out=paths=source_relative:"$out" ./*.proto
