/** The agent process, composed of its tasks. */

export { AgentProcess } from "./agent_process.ts";
export type { AgentProcessOptions } from "./agent_process.ts";
