#!/usr/bin/env bash
CASE=endless-store
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../play.sh"
