#!/bin/sh
# Plays a case five times with the disruption and once without, and prints the exit codes. Usage: review/five.sh N
case=$(dirname "$0")/$1/run.sh
for turn in 1 2 3 4 5; do
  "$case" >/dev/null 2>&1
  echo "case $1, turn $turn: $?"
done
TROUBLE=0 "$case" >/dev/null 2>&1
echo "case $1, TROUBLE=0: $?"
