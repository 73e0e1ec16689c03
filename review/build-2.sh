#!/bin/sh
# Builds the stand-ins of cases 6 to 10: one program, bin/review2. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/standin2
