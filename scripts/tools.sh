#!/usr/bin/env bash
# Installs the pinned formatter, linter and generators of the tools module
# into .bin; with the argument spin, also installs spin from Debian if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x .bin/gofumpt ] || [ ! -x .bin/revive ] || [ tools/go.sum -nt .bin/revive ]; then
  (cd tools && GOWORK=off GOBIN="$PWD/../.bin" go install tool)
  touch .bin/gofumpt .bin/revive
fi
if [ "${1:-}" = spin ] && ! command -v spin >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin >/dev/null
fi
