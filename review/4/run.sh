#!/bin/sh
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/chervilnode" ] && [ -x "$root/review/bin/standin" ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
cd "$root" || exit 2
timeout -k 5 110 "$root/review/bin/standin" late-promotion target/chervilnode "$dir" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
