#!/usr/bin/env bash
# Stops the node by SIGTERM and sends it streams 3.2 s later; see claim.txt.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../stand-ins/run.sh" StopWithStream review/3
