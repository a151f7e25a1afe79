#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network, as they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-2/standin2 .
