#!/bin/sh
# Plays a case five times, and once without its disruption: run-five.sh N
cd "$(dirname "$0")/$1" || exit 2
failed=0
for _run in 1 2 3 4 5; do
  ./run.sh > /dev/null
  code=$?
  [ $code -eq 1 ] && failed=$((failed + 1))
  [ $code -eq 2 ] && echo "case $1: a run could not be done" && cat record.txt
done
echo "case $1: the rule was broken in $failed of 5 runs"
cp record.txt record.keep
TROUBLE=0 ./run.sh > /dev/null
echo "case $1: without the disruption the exit code is $?"
mv record.keep record.txt
