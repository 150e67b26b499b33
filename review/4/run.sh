#!/usr/bin/env bash
# Sends 64 bodies of the largest allowed size at once beside usual orders; see claim.txt.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../stand-ins/run.sh" LargeBodies review/4
