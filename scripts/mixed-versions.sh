#!/usr/bin/env bash
# Runs processes of two builds beside one another, as peers, on one disk and on one socket: the build of a commit that
# is named, and that of the working tree. It prints a line for each case, and fails where one fails.
#
# usage: scripts/mixed-versions.sh OLD_COMMIT
set -euo pipefail

if [ $# -ne 1 ]; then
	echo "usage: $0 OLD_COMMIT" >&2
	exit 2
fi
cd "$(dirname "$0")/.."
old_commit=$(git rev-parse --verify "$1^{commit}")

work=$(mktemp -d)
cleanup() {
	git worktree remove --force "$work/tree" 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT

git worktree add --quiet --detach "$work/tree" "$old_commit"
(cd "$work/tree" && go build -o "$work/old" ./cmd/milletvane)
go build -o "$work/new" ./cmd/milletvane

export MILLETVANE_TEST_OLD="$work/old" MILLETVANE_TEST_NEW="$work/new"
status=0
go test -count=1 -v -run '^TestMixedVersions$' ./cmd/milletvane >"$work/output" 2>&1 || status=$?
sed -n 's|^ *--- \([A-Z]*\): TestMixedVersions/\(.*\)|\1 \2|p' "$work/output"
if [ "$status" -ne 0 ]; then
	cat "$work/output" >&2
fi
exit "$status"
