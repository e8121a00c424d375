#!/bin/sh
# Builds what the cases 11 to 15 start beside the build of the deploy file: the
# stand-ins of review/kit_3 are plain Python of the standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/kit_3
