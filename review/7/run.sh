#!/usr/bin/env bash
# A primary is replaced as planned, and the new database receives its log before it is listed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/chervilnode ] && [ -x target/review-2/standin ] || { echo "build first: deploy file and review/build-2.sh" >&2; exit 2; }
exec target/review-2/standin --case join --dir review/7 --trouble="$trouble"
