#!/bin/sh
# Builds the stand-ins that the cases start: state service, cloud, workers and users in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-standin ./review/_standin
