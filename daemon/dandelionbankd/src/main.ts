#!/usr/bin/env -S node --max-semi-space-size=1 --wasm-tiering-budget=1000000000 --single-threaded-gc --v8-pool-size=1 --optimize-for-size
/** Runs the daemon with this process's arguments, variables and streams. */

import process from "node:process";
import { runDaemon } from "./run_daemon.ts";

process.exitCode = await runDaemon({
  args: process.argv.slice(2),
  environment: process.env,
  output: process.stdout,
  errors: process.stderr,
});
