#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library
# only.
set -e
cd "$(dirname "$0")/tools"
mkdir -p ../bin
go build -o ../bin/casectl .
