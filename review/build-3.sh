#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the router: review/lab with all stand-ins.
cd "$(dirname "$0")" || exit 2
GOWORK=off go build -o ../target/review-3/lab ./lab
