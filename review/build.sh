#!/bin/bash
# The stand-ins are plain scripts without dependencies: nothing is compiled,
# they are only checked. Needs the build of deploy/system.toml before a case runs.
set -e
cd "$(dirname "$0")"
for script in common/*.mjs [1-5]/*.mjs; do
  if [ -e "$script" ]; then
    node --check "$script"
  fi
done
