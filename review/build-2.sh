#!/bin/sh
# Builds the stand-ins of cases 6 to 10, which need the standard library alone.
set -eu
cd "$(dirname "$0")/.standins-2"
mkdir -p ../../bin/review-2
CGO_ENABLED=0 GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -o ../../bin/review-2/standins .
