/** Runs the tool with the arguments, environment and streams of this process. */

import { runTool } from "./run_tool.ts";

process.exitCode = await runTool({
  args: process.argv.slice(2),
  environment: process.env,
  input: process.stdin,
  output: process.stdout,
  errors: process.stderr,
});
