#!/bin/sh
# The stand-ins are Python programs of the standard library, so there is nothing
# to compile. This checks that they and the built daemon can be loaded.
set -eu
cd "$(dirname "$0")/.."
python3 -c "import ast, pathlib
for path in pathlib.Path('review').rglob('*.py'):
    ast.parse(path.read_text(), str(path))"
PYTHONPATH=target/deps python3 -c "import wagtailpaddle_platform"
