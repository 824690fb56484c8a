#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The programs of the
# project itself are built before, as deploy/system.toml has it.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
GOWORK=off go build -C rig-2 -buildvcs=false -o ../../target/review-2/rig ./platform
