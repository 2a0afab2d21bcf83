#!/usr/bin/env bash
CASE=holders-in-turn
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../play.sh"
