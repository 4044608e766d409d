#!/bin/sh
# Builds the stand-ins of the cases, with the standard library only. The deploy file
# builds the project's own programs.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod go build -o ../../target/review-standin .
