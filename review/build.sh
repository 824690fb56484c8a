#!/bin/sh
# Builds the stand-ins of the scripts into target/. It needs no network: they use the
# standard library only.
set -e
cd "$(dirname "$0")"
go build -o ../target/review-stand ./platform
