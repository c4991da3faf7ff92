/** Events of requests, their keys and takeovers, numbered from 7000. */

import type { LogEventDefinition } from "./definition.ts";

export const REQUEST_EVENTS = {
  incarnationClosed: {
    id: 7000,
    level: "warn",
    text:
      "Incarnation {incarnation} of entry {entry} was closed; {successor} takes over its keys",
    help: "Find out why the entry was lost",
  },
  keysTakenOver: {
    id: 7001,
    level: "info",
    text:
      "Took over the keys of incarnation {incarnation} in {elapsedMs} ms: {heldKeys} held, {unreachableAgents} agents unreachable",
    help:
      "Restore the unreachable agents: requests with keys of their pools end unknown",
  },
  ownIncarnationClosed: {
    id: 7002,
    level: "warn",
    text: "This entry's incarnation {incarnation} was closed by {successor}",
    help: "Look for a pause of the VM or a broken link between the entries",
  },
  requestQuarantined: {
    id: 7003,
    level: "warn",
    text:
      "Requests with fingerprint {fingerprint} are refused for {quarantineMs} ms; targets that crashed: {targets}",
    help: "Check what the caller sends; see docs/outcomes.md",
  },
  frameDropped: {
    id: 7004,
    level: "debug",
    text: "Dropped a frame of attempt {attemptId}: {reason}",
    help: "None needed; a large number indicates a slow link to the agent",
  },
  requestEndedUnknown: {
    id: 7005,
    level: "info",
    text: "Request {requestId} of {organisation} ended unknown: {code}",
    help: "See docs/outcomes.md",
  },
  takeOverRetried: {
    id: 7006,
    level: "warn",
    text: "A step of a takeover is retried: {message}",
    help: "Check the platform if this lasts",
  },
} as const satisfies Record<string, LogEventDefinition>;
