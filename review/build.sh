#!/usr/bin/env bash
# Builds the stand-ins and the cases. The program itself is built with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in review/[0-9]; do
  go build -o "review/bin/case${n##*/}" "./$n"
done
