#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
review=$(cd "$(dirname "$0")/.." && pwd)
root=$(cd "$review/.." && pwd)
if [[ ! -f $root/target/sagepulley.jar || ! -f $review/target/rig-2/$2.class ]]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)
timeout -k 4 112 java -Xmx1g -cp "$review/target/rig-2" "$2" "$root/target/sagepulley.jar" "$temporary" "$folder/record.txt" &
rig=$!
trap 'kill "$rig" 2>/dev/null' TERM INT HUP
wait "$rig"
status=$?
while kill -0 "$rig" 2>/dev/null; do # a signal ended the wait
    wait "$rig"
    status=2
done
if [[ -n ${KEEP:-} ]]; then
    cp -r "$temporary" "$KEEP"
fi
rm -rf "$temporary"
if (( status != 0 && status != 1 )); then
    status=2
fi
exit "$status"
