#!/bin/sh
# Lists test cases, so that a rename or move of tests can be shown to lose none.
#
#   scripts/test-cases.sh list [COMMIT]                the sorted cases, of the working tree if no COMMIT
#   scripts/test-cases.sh compare OLD NEW [RENAMES]    cases of OLD that NEW hasn't, and the reverse
#
# A case is a test, benchmark, fuzz test or example (as `go test -list` names it), or one scenario
# of TestScenarios: a text file of a testdata folder, or each `case NAME` in it. Sub-tests made
# while a test runs aren't listed. Cases are named without their package, so a test may move; one
# name in two packages counts twice.
# RENAMES has lines "OLD NEW", "#" begins a comment. compare ends with 1 if a case is missing.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
cleanup() {
	for tree in "$work"/tree-*; do
		[ -d "$tree" ] && git -C "$root" worktree remove --force "$tree"
	done
	rm -rf "$work"
}
trap cleanup EXIT

# cases DIR prints the sorted cases of the sources in DIR.
cases() (
	cd "$1"
	go test -list . ./... >"$work/list"
	grep -E '^(Test|Benchmark|Fuzz|Example)' "$work/list" >"$work/cases"
	find internal -path '*/testdata/*.txt' | while read -r file; do
		# The same reading of cases as the scenario runner's.
		awk -v name="TestScenarios/$(basename "$file" .txt)" '
			$1 == "case" && NF > 1 { named = 1; print name "/" $2 }
			END { if (!named) print name }' "$file" | sort -u >>"$work/cases"
	done
	LC_ALL=C sort "$work/cases"
)

# cases_of COMMIT prints those of a commit, from a worktree of its own.
cases_of() {
	tree=$(mktemp -d "$work/tree-XXXXXX")
	git -C "$root" worktree add --quiet --detach "$tree" "$1"
	cases "$tree"
}

usage() {
	sed -n '2,/^set -eu/s/^# \{0,1\}//p' "$0" >&2
	exit 2
}

case "${1:-}" in
list)
	if [ $# -gt 1 ]; then cases_of "$2"; else cases "$root"; fi
	;;
compare)
	[ $# -ge 3 ] || usage
	cases_of "$2" >"$work/old"
	cases_of "$3" >"$work/new"
	sed 's/#.*//' "${4:-/dev/null}" | awk 'NF == 2' >"$work/renames"
	# A rename counts only if the old commit has the old name and the new commit the new one.
	awk -v work="$work" '
		FILENAME == work "/renames" { to[$1] = $2; next }
		FILENAME == work "/new" { new[$1]++; next }
		($1 in to) && to[$1] in new { print to[$1]; print "  renamed " $1 " -> " to[$1] >(work "/renamed"); next }
		{ print }' "$work/renames" "$work/new" "$work/old" | LC_ALL=C sort >"$work/expected"
	touch "$work/renamed"
	LC_ALL=C comm -23 "$work/expected" "$work/new" >"$work/missing"
	LC_ALL=C comm -13 "$work/expected" "$work/new" >"$work/added"
	echo "before $(wc -l <"$work/old"), after $(wc -l <"$work/new"), renamed $(wc -l <"$work/renamed")," \
		"new $(wc -l <"$work/added"), missing $(wc -l <"$work/missing")"
	cat "$work/renamed"
	sed 's/^/  new /' "$work/added"
	sed 's/^/  missing /' "$work/missing"
	[ ! -s "$work/missing" ]
	;;
*)
	usage
	;;
esac
