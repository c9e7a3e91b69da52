#!/bin/sh
# Checks the stand-ins of review/7 to review/10. They need Python 3.11 and its standard library only;
# the programs under test come from the build of the deploy file (target/deps).
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/gentianspread_server
for file in review/standin2.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
