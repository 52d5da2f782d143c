#!/bin/sh
# Builds the stand-ins of the cases. Needs nothing but the compiler that builds the project.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/src/main.rs -o target/review/review-case
