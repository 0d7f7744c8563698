#!/bin/sh
# Builds the stand-ins that the scripts start. The deploy file's own build builds the program.
cd "$(dirname "$0")/.." && mkdir -p bin && go build -o bin/review-standins ./review/_src
