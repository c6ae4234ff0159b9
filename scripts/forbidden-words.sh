#!/bin/sh
# Fails if Go code outside the edge has a word, as a word of its own, that the glossary replaced.
# The edge, internal/protocol and internal/config, maps the wire's and the settings' words to their
# terms and keeps them. So does internal/scenario/digest_test.go: its kinds of messages are compared with
# those of older commits.
#
# Excepted is the wire's own word in tests and stand-ins: a line with a JSON tag, and of other lines
# a JSON key ("word":), an index by it (["word"]) and the settings' [[siblings]]; the rest of such a
# line is still read.
set -eu
cd "$(dirname "$0")/.."
words='siblings?|charters?|permits?|stewards?|berths?|hulls?|tenure|warrants?|census|deaf|mute|vain'
# git grep ends with 1 if it found nothing; anything above is a failure of the check itself.
lines=$(git grep --untracked -nwiE "$words" -- '*.go' ':!internal/protocol' ':!*.pb.go' ':!internal/config' \
	':!internal/scenario/digest_test.go') || [ $? -eq 1 ]
found=$(printf '%s\n' "$lines" |
	grep -v 'json:"' |
	sed -E "s/\\\\?\"($words)\\\\?\" *:/\"-\":/Ig; s/\[\"($words)\"\]/[\"-\"]/Ig; s/\[\[siblings\]\]/[[-]]/g" |
	grep -iE "^[^:]+:[0-9]+:.*\b($words)\b" || true)
if [ -n "$found" ]; then
	echo "words that the glossary replaced:" >&2
	printf '%s\n' "$found" >&2
	exit 1
fi
# Expressions that were replaced by plainer ones. internal/scenario still has some of them.
expressions='surely|of late'
found=$(git grep --untracked -nwiE "$expressions" -- '*.go' ':!*.pb.go' ':!internal/protocol/wire' ':!internal/scenario') ||
	[ $? -eq 1 ]
if [ -n "$found" ]; then
	echo "expressions that plainer ones replaced:" >&2
	printf '%s\n' "$found" >&2
	exit 1
fi
