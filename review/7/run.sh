#!/bin/sh
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout 115 python3 case.py
status=$?
[ $status -eq 124 ] && status=2
exit $status
