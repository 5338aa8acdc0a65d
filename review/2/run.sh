#!/usr/bin/env bash
# The open channels to the store go silent, and a route moves to another service.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/filbertcleatd ] || exit 2
exec target/review/standin config-after-silence target/release/filbertcleatd review/2/record.txt
