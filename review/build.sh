#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/.bin. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.standins"
mkdir -p ../.bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off CGO_ENABLED=0 go build -o ../.bin/standins .
