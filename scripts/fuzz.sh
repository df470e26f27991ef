#!/bin/sh
# Runs each fuzz test for the given number of executions (default 50000x) or time. A run that is bounded by a time can fail with
# "context deadline exceeded" and without an input. Inputs that fail are written to testdata/fuzz of the package.
set -e
time=${1:-50000x}
git ls-files '*_test.go' | xargs grep -l '^func Fuzz' | while read -r file; do
	grep -o '^func Fuzz[A-Za-z]*' "$file" | cut -d' ' -f2 | while read -r name; do
		go test "./$(dirname "$file")" -run '^$' -fuzz "^$name\$" -fuzztime "$time" -parallel 2
	done
done
echo "fuzz: passed"
