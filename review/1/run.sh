#!/bin/bash
# Runs the case. Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/release/ebonyusher-platform-sidecar ] || { echo "build first"; exit 2; }
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
timeout 110 target/review/case-1 review/1 "$temp"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
