#!/bin/sh
# Builds the stand-ins of the second review's cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/play ./review/standin2
