#!/usr/bin/env bash
# Plays a case of the stand-ins: play.sh CASE FOLDER. The record goes to FOLDER/record.txt. The exit code is 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run, which includes one that has not ended after 110 s.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
if [ ! -x "$review/.bin/standins" ]; then
  "$review/build.sh" >&2 || exit 2
fi
if [ ! -x "$root/bin/milletvane" ]; then
  echo "bin/milletvane is missing: build it as deploy/balancer.toml says" >&2
  exit 2
fi
timeout --kill-after=5 110 "$review/.bin/standins" "$1" "$root" "$2/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
