#!/bin/bash
cd "$(dirname "$0")" && exec node scenario.mjs
