#!/bin/sh
# Runs a case five times, and once without its disruption: run-five-2.sh N. Prints the exit codes.
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
  ./run.sh
  echo "run $run: exit code $?: $(tail -n 2 record.txt | head -n 1)"
done
TROUBLE=0 ./run.sh
echo "TROUBLE=0: exit code $?: $(tail -n 2 record.txt | head -n 1)"
