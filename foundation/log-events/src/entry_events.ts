/** Events of an entry, numbered from 2000. */

import type { LogEventDefinition } from "./definition.ts";

export const ENTRY_EVENTS = {
  requestEnded: {
    id: 2000,
    level: "debug",
    text: "Request {requestId} of {organisation} ended {outcome} on {target}",
    help: "None needed",
  },
} as const satisfies Record<string, LogEventDefinition>;
