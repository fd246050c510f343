#!/usr/bin/env bash
# Builds the stand-ins of all scripts, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/review-standin ./standin
