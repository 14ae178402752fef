#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are scripts for python3 (3.8 or later) that use its standard library
# alone: nothing is compiled, they are only checked. The project's own program is built by the deploy file's build line.
cd "$(dirname "$0")" || exit 1
for script in lib-2/*.py [6-9]/case.py 10/case.py; do
    [ -e "$script" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$script" || exit 1
done
