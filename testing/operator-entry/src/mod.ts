/** An entry's operators' interface over a store in memory, with faults. */

export { EXAMPLE_CONTRACT, EXAMPLE_STATUS } from "./examples.ts";
export { OPERATOR_KEY, withOperatorEntries } from "./operator_entries.ts";
export type {
  EntryFault,
  OperatorEntries,
  OperatorEntriesOptions,
} from "./operator_entries.ts";
export { collectRun } from "./tool_run.ts";
export type { Tool, ToolEnvironment, ToolRun } from "./tool_run.ts";
