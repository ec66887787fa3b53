#!/bin/sh
# Checks the stand-ins of the second review, which are plain JavaScript: nothing of them has to be compiled.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.js 6/*.js 7/*.js 8/*.js 9/*.js 10/*.js; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
