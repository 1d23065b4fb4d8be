#!/bin/sh
# Builds the stand-ins of the cases of REPORT-3: they are Python without
# dependencies, so compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q harness-3
