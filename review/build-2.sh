#!/usr/bin/env bash
# Builds the stand-ins and clients that the cases 4, 5 and 6 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/review-cases ./review/_cases
