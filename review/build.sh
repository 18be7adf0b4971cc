#!/usr/bin/env bash
# Compiles the stand-ins that the scripts in this folder start. Needs only a JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
