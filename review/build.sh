#!/bin/sh
# Builds the stand-ins of the cases, from the repository's root or elsewhere. Run after the build of the deploy file.
# The module in standin/ has no dependencies, and is not a part of the project's module.
set -eu
cd "$(dirname "$0")/standin"
exec go build -o ../../target/review-standin .
