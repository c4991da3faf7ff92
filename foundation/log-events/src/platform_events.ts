/** Events of the platform client, numbered from 4000. */

import type { LogEventDefinition } from "./definition.ts";

export const PLATFORM_EVENTS = {
  platformUnreachable: {
    id: 4000,
    level: "warn",
    text: "The platform does not answer: {message}",
    help: "Traffic goes on with the last view; see docs/operations.md",
  },
} as const satisfies Record<string, LogEventDefinition>;
