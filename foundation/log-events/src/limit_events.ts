/** Events of limits and configuration, numbered from 6000. */

import type { LogEventDefinition } from "./definition.ts";

export const LIMIT_EVENTS = {
  viewAdvanced: {
    id: 6000,
    level: "debug",
    text: "View is at revision {revision}",
    help: "None needed",
  },
} as const satisfies Record<string, LogEventDefinition>;
