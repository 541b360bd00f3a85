#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
temporary=$(mktemp -d) || exit 2
end() {
    for file in "$temporary"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$temporary"
}
trap end EXIT
[ -x target/review/stand_in ] && [ -x target/release/rhubarbfall ] || exit 2
target/review/stand_in pending-after-restart "$case_folder" "$temporary" &
driver=$!
trap 'kill "$driver"; exit 2' INT TERM
wait "$driver"
