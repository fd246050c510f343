#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs no other modules and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
GOWORK=off go build -o ../target/review-2/stage ./stage
