#!/bin/sh
# Plays a case of the stand-ins: play-2.sh NAME FOLDER. The record goes to FOLDER/record.txt. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
standins=$root/bin/review-2/standins
if [ -z "$run" ] || [ ! -x "$standins" ] || [ ! -x "$root/bin/milletvane" ]; then
	echo "not run: the build of the deploy file and review/build-2.sh come first"
	exit 2
fi
temp=$(mktemp -d) || exit 2
child=
finish() {
	[ -n "$child" ] && kill "$child" 2>/dev/null && wait "$child"
	rm -rf "$temp"
}
trap 'finish; exit 2' INT TERM HUP
CASE_ROOT=$root CASE_RUN=$run CASE_TEMP=$temp CASE_RECORD=$folder/record.txt TROUBLE=${TROUBLE:-1} "$standins" "$name" &
child=$!
wait "$child"
status=$?
child=
cat "$temp"/balancer*.log >>"$folder/record.txt" 2>/dev/null
finish
exit "$status"
