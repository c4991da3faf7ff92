/** Events of an entry, numbered from 2000. */

import type { LogEventDefinition } from "./definition.ts";

export const ENTRY_EVENTS = {
  requestEnded: {
    id: 2000,
    level: "debug",
    text:
      "Request {requestId} of {organisation} ended with outcome {outcome} on target {target}",
    help: "None needed",
  },
  attemptCrashed: {
    id: 2001,
    level: "warn",
    text:
      "Target {target} was lost while running request {requestId} of {organisation}, fingerprint {fingerprint}",
    help:
      "Check the target; if the same fingerprint appears again, the request itself is the likely cause",
  },
  entryListens: {
    id: 2002,
    level: "info",
    text:
      "Entry {entry} listens for callers at {callerUrl} and for peers at {peerUrl}",
    help: "None needed",
  },
  vmListDistrusted: {
    id: 2003,
    level: "warn",
    text:
      "{vanished} VMs of data centre {dataCentre} vanished from the platform's list together; their absence is ignored",
    help: "Check whether the data centre is lost or the list is wrong",
  },
} as const satisfies Record<string, LogEventDefinition>;
