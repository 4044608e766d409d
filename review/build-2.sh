#!/bin/sh
# Builds the stand-in of the cases 7 to 10: clients, backends, the operator and the part of
# the platform that starts processes. It needs Go and no module from outside.
set -e
cd "$(dirname "$0")/standin2"
go vet .
go build -o ../../target/standin2 .
