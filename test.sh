#!/bin/sh
# Everything that must hold before a change lands: formatting, vet, staticcheck
# (staticcheck.conf), revive (revive.toml), the tests with the race detector,
# and the deploy build.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
    echo "gofmt would change:" >&2
    echo "$unformatted" >&2
    exit 1
fi
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml ./cmd/... ./internal/... # not target/, where the bench may leave older sources
go test -race ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
target/poppypass version
