#!/bin/sh
# The stand-ins are Python programs that use the standard library alone (standins.py): nothing is compiled. This checks
# that Python 3 is there and can read them.
cd "$(dirname "$0")" || exit 1
for file in standins.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
