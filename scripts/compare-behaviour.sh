#!/bin/sh
# Compares the behaviour of two versions: plays the scenarios with both and compares all
# that left the nodes (internal/scenario/digest_test.go).
#
#	scripts/compare-behaviour.sh OLD [NEW]
#
# OLD and NEW are commits that have the digests; without NEW it is the working tree.
# RUN      tests to run (default TestScenarios); a part of them: 'TestScenarios/^cloud_'
# KEEP     a directory: the digests of commits are kept in it, and used again
# RENAMES  a file of lines "old new": cases that have another name in NEW
# Exit status: 0 alike, 1 a difference (or a case that one side lacks, or a failed test),
# 2 no comparison.
set -eu
if [ $# -lt 1 ] || [ $# -gt 2 ]; then
	sed -n '2,/^set/s/^# \{0,1\}//p' "$0" >&2
	exit 2
fi
root=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
run=${RUN:-TestScenarios}
renames=${RENAMES:-/dev/null}
[ -r "$renames" ] || { echo "cannot read $renames" >&2; exit 2; }
work=$(mktemp -d)
failed=0
finish() {
	for tree in "$work"/tree-*; do
		[ -d "$tree" ] && git -C "$root" worktree remove --force "$tree"
	done
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM

commit_of() { git -C "$root" rev-parse --verify --quiet "$1^{commit}" || { echo "no such commit: $1" >&2; exit 2; }; }

# tree_of SIDE COMMIT prints the directory of a version's source.
tree_of() {
	if [ -z "$2" ]; then
		echo "$root"
		return
	fi
	[ -d "$work/tree-$1" ] || git -C "$root" worktree add --quiet --detach "$work/tree-$1" "$2" >&2
	echo "$work/tree-$1"
}

# play TREE DIRECTORY PATTERN FULL runs tests and writes their digests.
play() {
	(cd "$1" && PIPITLATCH_DIGESTS="$2" PIPITLATCH_DIGESTS_FULL="$4" go test -count=1 -timeout 40m ./internal/scenario -run "$3")
}

# digests SIDE COMMIT puts a version's digests into $work/SIDE, a link or a directory.
digests() {
	kept=
	if [ -n "${KEEP:-}" ] && [ -n "$2" ]; then
		mkdir -p "$KEEP"
		kept=$(cd "$KEEP" && pwd)/$2
		[ "$run" = TestScenarios ] || kept=$kept-$(printf %s "$run" | cksum | cut -d' ' -f1)
		if [ -d "$kept" ]; then
			echo "$1: kept digests of $2"
			ln -s "$kept" "$work/$1"
			return
		fi
	fi
	tree=$(tree_of "$1" "$2")
	if ! play "$tree" "$work/$1" "$run" '' >"$work/$1.log" 2>&1; then
		echo "$1: tests failed:" >&2
		grep -v '^ok' "$work/$1.log" | head -30 >&2
		failed=1
	fi
	if [ ! -d "$work/$1" ]; then
		echo "$1: the tests wrote no digests" >&2
		exit 2
	fi
	if [ -n "$kept" ] && [ $failed = 0 ]; then
		cp -R "$work/$1" "$kept.part.$$" && mv "$kept.part.$$" "$kept"
	fi
}

# list SIDE prints the names of its digests.
list() { (cd "$work/$1/" && find . -name '*.gz' | sed 's|^\./||' | LC_ALL=C sort); }

# new_name DIGEST prints what a digest of OLD is called in NEW.
new_name() {
	awk -v digest="$1" 'BEGIN { at = match(digest, /\.seed-[0-9]+\.gz$/); name = substr(digest, 1, at - 1); rest = substr(digest, at) }
		$1 == name { name = $2; exit }
		END { print name rest }' "$renames"
}

# first_line A B prints the number of the first line in which two files differ. A file
# that is the beginning of the other differs in the line after its end.
first_line() {
	awk -v other="$2" '{ if ((getline line <other) <= 0 || line != $0) { print NR; found = 1; exit } }
		END { if (!found) print NR + 1 }' "$1"
}

# pattern_of DIGEST prints the -run pattern of its case.
pattern_of() { echo "$1" | sed 's|\.seed-[0-9]*\.gz$||; s|[.+*?()]|\\&|g; s|/|$/^|g; s|^|TestScenarios/^|; s|$|$|'; }

# show WHAT OLD NEW prints the first difference of two unpacked digests.
show() {
	n=$(first_line "$2" "$3")
	a=$(sed -n "${n}p" "$2")
	b=$(sed -n "${n}p" "$3")
	echo "$1, line $n"
	echo "  old: ${a:-(nothing more)}"
	echo "  new: ${b:-(nothing more)}"
}

# explain OLD-DIGEST NEW-DIGEST tells the first difference of a case: it is played again
# with a line for every message.
explain() {
	echo "first case that differs: ${1%.gz}"
	gzip -dc "$work/old/$1" >"$work/a"
	gzip -dc "$work/new/$2" >"$work/b"
	show "  by second (us, sender, kind, messages, hash)" "$work/a" "$work/b"
	play "$(tree_of old "$old")" "$work/full-old" "$(pattern_of "$1")" 1 >"$work/full.log" 2>&1 || true # failures were told
	play "$(tree_of new "$new")" "$work/full-new" "$(pattern_of "$2")" 1 >>"$work/full.log" 2>&1 || true
	if gzip -dc "$work/full-old/$1" >"$work/a" && gzip -dc "$work/full-new/$2" >"$work/b" && ! cmp -s "$work/a" "$work/b"; then
		show "  by message (us, sender, kind, receiver, hash)" "$work/a" "$work/b"
	else
		echo "  played again, the case has no difference: it is not the same every time" >&2
	fi
}

old=$(commit_of "$1")
new=
[ $# -lt 2 ] || new=$(commit_of "$2")
digests old "$old"
digests new "$new"

list old >"$work/names"
: >"$work/matched"
count=0 differ=0 missing=0 first= first_new=
while read -r name; do
	other=$(new_name "$name")
	echo "$other" >>"$work/matched"
	if [ ! -e "$work/new/$other" ]; then
		echo "only in old: ${name%.gz}"
		missing=$((missing + 1))
		continue
	fi
	count=$((count + 1))
	cmp -s "$work/old/$name" "$work/new/$other" && continue
	# Another version of Go may pack the same lines differently.
	gzip -dc "$work/old/$name" >"$work/a" && gzip -dc "$work/new/$other" >"$work/b" && cmp -s "$work/a" "$work/b" && continue
	differ=$((differ + 1))
	[ -n "$first" ] || { first=$name; first_new=$other; }
done <"$work/names"
list new >"$work/names.new"
LC_ALL=C sort -o "$work/matched" "$work/matched"
LC_ALL=C comm -13 "$work/matched" "$work/names.new" >"$work/added"
if [ -s "$work/added" ]; then
	sed 's/^/only in new: /; s/\.gz$//' "$work/added"
	missing=$((missing + $(wc -l <"$work/added")))
fi
[ -z "$first" ] || explain "$first" "$first_new"
cases=$(sed 's/\.seed-[0-9]*\.gz$//' "$work/names" | LC_ALL=C sort -u | wc -l)
echo "compared $count digests (a case with a seed) of $cases cases: $differ differ, $missing on one side only"
[ $count -gt 0 ] && [ $differ = 0 ] && [ $missing = 0 ] && [ $failed = 0 ]
