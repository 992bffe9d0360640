#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in worker2 cutshort crashed blamed cutoff frozen; do
  go build -o "target/review-$name" "./review/$name"
done
