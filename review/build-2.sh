#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They use the standard library only and need no network.
set -e
cd "$(dirname "$0")/standins-2"
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../target/review-2/ .
