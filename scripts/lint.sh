#!/bin/sh
# Linters over the module: golangci-lint with .golangci.yml, which also checks formatting, and the
# words that must not come back. golangci-lint is a tool of tools/go.mod. Runs at the same time on
# one machine wait for each other; without the flag the later one would fail.
set -eu
cd "$(dirname "$0")/.."
status=0
sh scripts/forbidden-words.sh || status=1
go tool -modfile=tools/go.mod golangci-lint run --allow-serial-runners ./... || status=1
exit $status
