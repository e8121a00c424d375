#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need Python's
# standard library only, so this compiles them; run it after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/kit_2
