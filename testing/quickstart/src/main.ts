/** Runs the quickstart; the exit code is 0 if every request was answered. */

import { runQuickstart } from "./mod.ts";

process.exitCode = await runQuickstart((line) => console.log(line));
