#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the review start. The build of the
# deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
