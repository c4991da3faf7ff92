/** Entries that serve the operator API from a store in memory, with injected faults. */

export { EXAMPLE_CONTRACT, EXAMPLE_STATUS } from "./examples.ts";
export { OPERATOR_KEY, withOperatorEntries } from "./operator_entries.ts";
export type {
  EntryFault,
  OperatorEntries,
  OperatorEntriesOptions,
} from "./operator_entries.ts";
export { runToolInProcess } from "./tool_run.ts";
export type { Tool, ToolEnvironment, ToolRun } from "./tool_run.ts";
