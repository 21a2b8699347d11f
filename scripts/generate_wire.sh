#!/usr/bin/env bash
# Generates modules/wire/messages_generated.h from the schema. The linter skips
# generated code: its names follow FlatBuffers' style.
set -euo pipefail
cd "$(dirname "$0")/../modules/wire"
flatc --cpp --cpp-std c++17 --scoped-enums messages.fbs
{ echo "// NOLINTBEGIN"; cat messages_generated.h; echo "// NOLINTEND"; } >messages_generated.tmp
mv messages_generated.tmp messages_generated.h
