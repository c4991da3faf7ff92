/** Demonstrates a complete site: callers, entries, agents, targets and operators. */

export { runQuickstart } from "./run_quickstart.ts";
