#!/bin/sh
# Builds the program of the review: the stand-ins, the callers and the checks of all cases, with the
# project's own stand-ins of the store and of servers.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review ./review/_tool
