#!/bin/bash
# Builds the stand-ins of the cases 4 to 6; to be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
