#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/cases .
