#!/usr/bin/env bash
# Regenerates the committed code and pages: the protobuf packages with the pinned
# plugins of the tools module, the list of events, and the JSON Schemas.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools.sh
(cd tools && GOWORK=off go build -o ../.bin/genpb ./genpb)
for plugin in go go-grpc; do
  .bin/genpb -plugin ".bin/protoc-gen-$plugin" -opt module=chervilspan.example -dir proto \
    $(cd proto && ls ./*.proto | sed 's|^\./||')
done
go run ./internal/evlog/gen
go run ./pkg/catal/gen
go run ./internal/conf/gen
