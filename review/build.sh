#!/usr/bin/env bash
# The scripts start target/radishraild, which the build of the deploy file makes, and stand-ins in Python, which need
# no more than a check here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for source in standins/lab.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
