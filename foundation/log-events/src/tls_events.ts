/** Events of keys and certificates, numbered from 9000. */

import type { LogEventDefinition } from "./definition.ts";

export const TLS_EVENTS = {
  tlsReloaded: {
    id: 9000,
    level: "info",
    text: "New certificate {path} is in use for new connections",
    help: "None needed",
  },
  tlsReloadFailed: {
    id: 9001,
    level: "error",
    text: "New certificate {path} could not be used: {message}",
    help:
      "Install a matching key and certificate; the previous pair stays in use",
  },
} as const satisfies Record<string, LogEventDefinition>;
