#!/bin/sh
# Checks that the stand-ins and the cases compile; they need only Python's standard library.
set -eu
cd "$(dirname "$0")"
for file in standin.py [1-5]/case.py; do
    [ -f "$file" ] && python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
