#!/bin/sh
# Builds every stand-in that the cases start. Those of this folder are Python scripts (standard library only), which are
# only checked here; the test broker and the test list service of case 1 are commands of the program itself, which the
# build line of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
test -x target/release/curlewpoint || cargo build --release --locked --offline
for script in review/lib/*.py review/[0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$script"
done
