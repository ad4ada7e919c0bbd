#!/bin/bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
