#!/bin/sh
# Builds all stand-ins of the cases, after the build of deploy/balancer.toml. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf review/classes
javac -Xlint:all -d review/classes review/src/review/*.java
