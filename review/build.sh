#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it in the repository's root, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/stand ./review/stand
