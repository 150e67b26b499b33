#!/usr/bin/env bash
# A request that crashes each plain server comes again and again; see claim.txt.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../stand-ins/run.sh" CrashingOrder review/4
