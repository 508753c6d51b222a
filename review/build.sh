#!/bin/sh
# Compiles the stand-ins and the cases. Needs only the JDK; the programs of the project are built by the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -Werror -d build standins/*.java
