#!/bin/sh
# Builds the stand-ins of all cases into review/target. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all -d target/classes rig/*.java $(ls -d [0-9]*/*.java)
