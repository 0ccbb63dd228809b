#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. The program itself is built as deploy/service.toml says.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
