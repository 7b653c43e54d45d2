#!/usr/bin/env bash
# Fails when a file is not formatted by gofumpt, or when revive or go vet reports a
# problem.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools.sh
bad=$(find . -name '*.go' -not -name '*.pb.go' -print0 | xargs -0 -r .bin/gofumpt -l)
if [ -n "$bad" ]; then
  echo "not gofumpt-clean:" "$bad"
  exit 1
fi
.bin/revive -config revive.toml -set_exit_status -exclude ./internal/proto/... ./...
(cd standin && ../.bin/revive -config ../revive.toml -set_exit_status ./...)
go vet ./... ./standin/...
