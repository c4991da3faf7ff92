/** The entry's end of an attempt. */

export { AgentConnection } from "./agent_connection.ts";
export type {
  AgentConnectionOptions,
  AttemptListener,
} from "./agent_connection.ts";
