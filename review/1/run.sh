#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
python3 -c "import review.standins.client, review.standins.deployment" || exit 2
timeout -k 5 115 python3 review/1/play.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
