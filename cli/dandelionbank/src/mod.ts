/** The operators' command-line tool, as a function of its arguments and streams. */

export { runTool } from "./run_tool.ts";
export { EXIT_CODES } from "./tool_failure.ts";
export { TOOL_SETTINGS } from "./tool_settings.ts";
export type { ToolProcess } from "./tool_context.ts";
