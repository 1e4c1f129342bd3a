#!/usr/bin/env bash
# Builds the stand-in that the scripts start. Run it at any place, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin
