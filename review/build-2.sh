#!/bin/sh
# Builds the stand-ins and scripts of the second review. They use the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/harness2 review/6 review/7 review/8 review/9 review/10
