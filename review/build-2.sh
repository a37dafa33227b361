#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. They need no module
# besides the standard library. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
out="$PWD/target/review-2/stand-2"
cd review/stand-2
GOWORK=off GOFLAGS=-mod=mod go build -o "$out" .
