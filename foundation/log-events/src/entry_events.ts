/** Events of an entry, numbered from 2000. */

import type { LogEventDefinition } from "./definition.ts";

export const ENTRY_EVENTS = {
  requestEnded: {
    id: 2000,
    level: "debug",
    text: "Request {requestId} of {organisation} ended {outcome} on {target}",
    help: "None needed",
  },
  attemptCrashed: {
    id: 2001,
    level: "warn",
    text:
      "Target {target} was lost while it ran request {requestId} of {organisation}, fingerprint {fingerprint}",
    help:
      "Look at the target; the same fingerprint twice points at the request",
  },
  entryListens: {
    id: 2002,
    level: "info",
    text: "Callers reach entry {entry} at {callerUrl}, peers at {peerUrl}",
    help: "None needed",
  },
  vmListDistrusted: {
    id: 2003,
    level: "warn",
    text:
      "{vanished} VMs of data centre {dataCentre} vanished from the platform's list together; their absence counts for nothing",
    help: "Look whether the data centre is lost or the list is wrong",
  },
} as const satisfies Record<string, LogEventDefinition>;
