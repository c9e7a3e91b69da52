#!/bin/sh
# Puts the libraries and the packages, with compiled bytecode, into target/deps.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt "$deps/.requirements"; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --constraint constraints.txt --target "$deps" \
        --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$deps/.requirements"
fi
for package in core server; do
    source="packages/gentianspread-$package/src/gentianspread_$package"
    rm -rf "$deps/gentianspread_$package"
    cp -r "$source" "$deps/"
    python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/gentianspread_$package"
done
