#!/bin/sh
# Builds the stand-ins of the cases. They are plain scripts for Node 20 without dependencies, so only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
