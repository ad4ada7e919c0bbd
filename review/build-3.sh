#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs of the project are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/standin3 .
