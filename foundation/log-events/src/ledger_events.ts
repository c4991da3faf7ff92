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
  keysTakenOver: {
    id: 7001,
    level: "info",
    text:
      "Took over the keys of incarnation {incarnation} in {elapsedMs} ms: {heldKeys} held, {unreachableAgents} agents unreachable",
    help: "Bring back unreachable agents: keys of their pools end unknown",
  },
  ownIncarnationClosed: {
    id: 7002,
    level: "warn",
    text: "This entry's incarnation {incarnation} was closed by {successor}",
    help: "Look for a pause of the VM, or links between the entries",
  },
  requestQuarantined: {
    id: 7003,
    level: "warn",
    text:
      "Requests with fingerprint {fingerprint} are refused for {quarantineMs} ms; they crashed {targets}",
    help: "Look at what the caller sends; see docs/outcomes.md",
  },
  frameDropped: {
    id: 7004,
    level: "debug",
    text: "Dropped a frame of attempt {attemptId}: {reason}",
    help: "None needed; many show a slow link to the agent",
  },
  requestEndedUnknown: {
    id: 7005,
    level: "info",
    text: "Request {requestId} of {organisation} ended unknown: {code}",
    help: "See docs/outcomes.md",
  },
} as const satisfies Record<string, LogEventDefinition>;
