#!/bin/bash
# Builds the stand-ins of the scripts of the second review into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/stand-2 ./review/stand-2
