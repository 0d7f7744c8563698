#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It is run from anywhere, after the build of
# deploy/balancer.toml, and needs nothing but the tool chain and the modules.
cd "$(dirname "$0")/.." && mkdir -p bin && exec go build -o bin/review-2-drive ./review/_drive2
