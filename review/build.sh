#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the store, the workers, the clients and the driver, one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/standins
