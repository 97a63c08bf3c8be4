#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python scripts without dependencies: nothing is compiled. This checks that the
# interpreter is there and reads them.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("*/play.py")]:
    ast.parse(path.read_text())
'
