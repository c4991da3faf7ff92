/** Events of the request ledger, numbered from 7000. */

import type { LogEventDefinition } from "./definition.ts";

export const LEDGER_EVENTS = {
  incarnationClosed: {
    id: 7000,
    level: "warn",
    text:
      "Incarnation {incarnation} of entry {entry} was closed; {successor} answers for its keys",
    help: "Look for the cause of the loss of the entry",
  },
} as const satisfies Record<string, LogEventDefinition>;
