#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/standin-3 ./review/standin-3
