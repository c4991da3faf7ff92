/** Runs the tool with this process's arguments, variables and streams. */

import { runTool } from "./run_tool.ts";

process.exitCode = await runTool({
  args: process.argv.slice(2),
  environment: process.env,
  input: process.stdin,
  output: process.stdout,
  errors: process.stderr,
});
