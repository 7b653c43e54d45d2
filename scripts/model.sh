#!/usr/bin/env bash
# Checks each model under model/ exhaustively with spin. A file NAME.pml must pass.
# Each of its safeguards, listed in lines "// safeguard: MACRO", is disabled with
# -DMACRO, and spin must find a counterexample for that variant.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools.sh spin
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
run() { # run NAME FLAGS: prints the verdict; returns 0 when spin found no error
  (cd "$work" && rm -f pan* ./*.trail && spin $2 -a "$OLDPWD/model/$1.pml" >/dev/null \
    && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=8192 -o pan pan.c && ./pan -m2000000 >out 2>&1)
  states=$(awk '/states, stored/ {print $1}' "$work/out")
  if grep -q 'errors: 0' "$work/out" && ! grep -q 'max search depth too small\|out of memory' "$work/out"; then
    echo "model $1 $2: no error, $states states"
    return 0
  fi
  echo "model $1 $2: $(grep -m1 -E 'pan:[0-9]*:|errors:' "$work/out"), $states states"
  return 1
}
passed=0 failed=0
for f in model/*.pml; do
  name=$(basename "$f" .pml)
  if run "$name" ""; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
  for macro in $(awk '$1=="//" && $2=="safeguard:" {print $3}' "$f"); do
    if run "$name" "-D$macro"; then
      echo "  without the safeguard $macro a counterexample was expected"
      failed=$((failed + 1))
    else
      passed=$((passed + 1))
    fi
  done
done
echo "model: $passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" -gt 0 ]
