#!/bin/sh
# Prepares what the cases of the third review start. The program itself is built by the deploy file. The
# stand-ins are Python scripts that use the standard library alone, so they are only checked here.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, sys, tomllib; assert sys.version_info >= (3, 11)'
for file in review/lib-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
