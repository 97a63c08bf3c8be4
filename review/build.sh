#!/bin/sh
# The stand-ins are Python programs of the standard library; this checks that they can run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for program in lib/*.py [1-9]/*.py; do
    [ -e "$program" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$program"
done
