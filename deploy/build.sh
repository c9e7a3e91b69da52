#!/bin/sh
# Puts the libraries and the packages, with compiled bytecode, into target/deps.
set -eu
deps=target/deps
# Libraries for another processor or interpreter do not load, so the stamp names both.
platform=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.version)')
wanted=$(echo "$platform"; cat deploy/requirements.txt constraints.txt)
if [ "$wanted" != "$(cat "$deps/.requirements" 2>/dev/null)" ]; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --constraint constraints.txt --target "$deps" \
        --requirement deploy/requirements.txt
    echo "$wanted" >"$deps/.requirements"
fi
for package in core server; do
    name="gentianspread_$package"
    source="packages/gentianspread-$package/src/$name"
    sum=$(find "$source" -name '*.py' | LC_ALL=C sort | xargs cksum | cksum)
    if [ -d "$deps/$name" ] && [ "$sum" = "$(cat "$deps/.$name" 2>/dev/null)" ]; then
        continue # processes that run from it keep their files
    fi
    rm -rf "$deps/$name" "$deps/.$name"
    cp -r "$source" "$deps/"
    python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/$name"
    echo "$sum" >"$deps/.$name"
done
