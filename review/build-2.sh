#!/bin/sh
# Compiles the stand-ins of the second review, which need nothing but Python's standard library.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/rig_2/*.py review/[4-8]/*.py
