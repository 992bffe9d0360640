#!/usr/bin/env bash
# Builds the programs of the review's scripts, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
