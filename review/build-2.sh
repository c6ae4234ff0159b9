#!/bin/sh
# Builds the stand-ins of the second review, and the version in production, from the repository's
# history as the bench does. Without that history, or without the modules that this version needs,
# case 4 uses settings without state.next for it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/play ./review/standin2
rm -f target/review-2/former
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/service.toml)
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
if git archive --format=tar "$commit" 2>/dev/null | tar -xf - -C "$source" 2>/dev/null &&
	(cd "$source" && go build -o former ./cmd/pipitlatch); then
	mv "$source/former" target/review-2/former
else
	echo "the version in production cannot be built here" >&2
fi
