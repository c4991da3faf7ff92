/** Events of an entry's view of limits and configuration, numbered from 6000. */

import type { LogEventDefinition } from "./definition.ts";

export const LIMIT_EVENTS = {
  viewAdvanced: {
    id: 6000,
    level: "debug",
    text: "View is at revision {revision}",
    help: "None needed",
  },
  listDistrusted: {
    id: 6001,
    level: "warn",
    text:
      "{vanished} VMs of {dataCentre} vanished from the platform's list together",
    help:
      "Check the platform's list; targets that answer are used, and unresponsive ones are tried last",
  },
  viewStale: {
    id: 6002,
    level: "warn",
    text: "View has been stale for {staleMs} ms; no new requests are accepted",
    help:
      "Check the connections to the platform and to the entries that watch it",
  },
  platformOutForAll: {
    id: 6003,
    level: "warn",
    text:
      "The platform is unreachable for all processes; requests continue at revision {revision}",
    help:
      "None needed here; changes cannot be accepted until the platform is back",
  },
} as const satisfies Record<string, LogEventDefinition>;
