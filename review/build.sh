#!/usr/bin/env bash
# Builds the program that holds the stand-ins of all cases. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/harness"
export GOPROXY=off GOTOOLCHAIN=local
mkdir -p ../../target
go build -o ../../target/review-harness .
