#!/usr/bin/env bash
# Builds the stand-ins of the review. Needs target/cowslipbank.jar, from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -nowarn -cp target/cowslipbank.jar -d target/review review/stand-ins/*.java
