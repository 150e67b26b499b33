#!/usr/bin/env bash
# Runs one case: run.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -f target/cowslipbank.jar ] || [ ! -f target/review/Rig.class ]; then
  echo 'build first: the command of deploy/system.toml, then review/build.sh' >&2
  exit 2
fi
timeout --kill-after=4 114 java -Xmx1g -cp target/review:target/cowslipbank.jar "$@"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
