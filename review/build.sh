#!/bin/sh
# Builds the stand-ins of the scripts. They need Python 3.11 or later and no other package.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
