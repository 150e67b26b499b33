#!/usr/bin/env bash
# A configuration isolates a tenant whose parts are cached; another tenant sends the same part. See claim.txt.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../stand-ins/run.sh" IsolatedTenant review/2
