#!/usr/bin/env bash
# The same fault without the bench: the open channels to the store go silent, and a server leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/filbertcleatd ] || exit 2
exec target/review/standin leaving-after-silence target/release/filbertcleatd review/1/record.txt
