#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/dogwoodhead ] || { echo "run the deploy build and review/build.sh first" >&2; exit 2; }
exec target/review/stand child review/3
