#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs protoc (Debian's
# protobuf-compiler) and the plugins of the tools module.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools.sh
PATH="$PWD/.bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=chervilspan.example \
  --go-grpc_out=. --go-grpc_opt=module=chervilspan.example \
  proto/*.proto
go run ./internal/evlog/gen
go run ./pkg/catal/gen
