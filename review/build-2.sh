#!/bin/sh
# Builds the stand-ins of the cases 6 and later with the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
