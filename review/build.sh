#!/bin/sh
# Builds the stand-ins of the cases, and the version in production that case 1 upgrades from. Run after the build of
# the deploy file. The module in standin/ has no dependencies and is not a part of the project's module.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .

# The version in production has the same dependencies as this one. Without the repository's history it cannot be
# built; case 1 says in its record what it does then.
cd ../..
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
source=target/review-production-source
rm -rf "$source" target/review-production
mkdir -p "$source"
if git archive "$production" 2>/dev/null | tar -x -C "$source" 2>/dev/null && [ -f "$source/go.mod" ]; then
	(cd "$source" && go build -ldflags=-linkmode=external -o ../review-production ./cmd/pipitlatch) ||
		echo "the version in production could not be built" >&2
else
	echo "the version in production is not in the repository's history" >&2
fi
rm -rf "$source"
