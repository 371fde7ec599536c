#!/bin/sh
# Builds the stand-ins of the review's scripts: compiles them and the project's own ones that they
# use with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review railtide/standins railtide/http
PYTHONPATH=target/deps:. python3 -c "import review.standins.deployment, review.standins.client"
