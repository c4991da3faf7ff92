/** Runs the quickstart and sets the exit code. */

import { runQuickstart } from "./mod.ts";

process.exitCode = await runQuickstart((line) => console.log(line));
