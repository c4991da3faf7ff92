/** Events of limits and configuration, numbered from 6000. */

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
      "Check the platform's list; targets that answer are used, and silent ones are tried last",
  },
  viewStale: {
    id: 6002,
    level: "warn",
    text: "View is stale since {staleMs} ms; no new work is taken",
    help: "Check the way to the platform and to the entries that watch it",
  },
  platformOutForAll: {
    id: 6003,
    level: "warn",
    text: "Platform is out for all; work goes on at revision {revision}",
    help: "None needed here; changes can't be accepted until it is back",
  },
} as const satisfies Record<string, LogEventDefinition>;
