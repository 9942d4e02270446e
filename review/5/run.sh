#!/usr/bin/env bash
# Runs the case; review/build.sh and the build of deploy/system.toml come first.
cd "$(dirname "$0")/../.."
[ -x target/review/review-case ] && [ -x target/release/poplar-sidecar ] || exit 2
exec target/review/review-case leave-in-outage review/5
