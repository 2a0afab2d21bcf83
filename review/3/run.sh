#!/usr/bin/env bash
CASE=registry-address
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../play.sh"
