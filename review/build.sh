#!/bin/sh
# Builds what the scripts of this folder start besides the deploy file's program. The stand-ins are plain ES modules that Node.js runs
# as they are, so there is nothing to compile; a syntax error in one of them fails here.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
