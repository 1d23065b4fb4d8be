#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs without
# dependencies, so they are only compiled; this needs no network.
set -e
cd "$(dirname "$0")"
python3 -m py_compile harness/*.py [1-5]/case.py
