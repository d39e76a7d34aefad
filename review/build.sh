#!/bin/sh
# Compiles the stand-ins and the cases that the scripts start. Needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes standins/*.java
