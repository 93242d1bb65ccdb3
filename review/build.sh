#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/players .
