#!/bin/sh
# Builds the stand-ins of review 3. They use the standard library only, so they are just compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/fleet3.py review/1[1-5]/case.py
