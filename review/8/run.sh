#!/usr/bin/env bash
exec "$(dirname "$0")/../standin-2/case.sh" CutZone 8
