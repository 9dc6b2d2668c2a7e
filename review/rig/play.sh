#!/usr/bin/env bash
# play.sh CASE RECORD: plays a case of the rig. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
rig=$top/target/review-2/release/review-rig
daemon=$top/target/release/clementine-entry
for program in "$rig" "$daemon"; do
    [ -x "$program" ] || { echo "missing: build the deploy file's program and run review/build-2.sh"; exit 2; }
done
RIG_DIR=$(mktemp -d)
export RIG_DIR TROUBLE=${TROUBLE:-1}
# Ends what the rig has started, should it end before its daemons.
end() {
    while read -r pid; do
        [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$daemon" ] && kill -KILL "$pid"
    done < <(cat "$RIG_DIR/pids" 2>/dev/null)
    rm -rf "$RIG_DIR"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 2 115 "$rig" "$1" "$daemon" "$2"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
