/** Runs the daemon with the arguments, environment and streams of this process. */

import process from "node:process";
import { runDaemon } from "./run_daemon.ts";

process.exitCode = await runDaemon({
  args: process.argv.slice(2),
  environment: process.env,
  output: process.stdout,
  errors: process.stderr,
});
