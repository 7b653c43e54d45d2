#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It needs no network: the
# stand-in uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -o ../../target/review-2/standin .
