/** Events of an agent, numbered from 3000. */

import type { LogEventDefinition } from "./definition.ts";

export const AGENT_EVENTS = {
  attemptEnded: {
    id: 3000,
    level: "debug",
    text: "Attempt {attemptId} ended {result}",
    help: "None needed",
  },
} as const satisfies Record<string, LogEventDefinition>;
