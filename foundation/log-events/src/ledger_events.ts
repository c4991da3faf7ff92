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
      "Took over incarnation {incarnation} after {elapsedMs} ms: {heldKeys} keys are held by agents, {unreachableAgents} agents could not be asked",
    help:
      "Keys that an agent which could not be asked may have taken are answered unknown",
  },
  takeOverRetried: {
    id: 7002,
    level: "warn",
    text: "A step of a takeover is tried again: {message}",
    help: "Look at the platform if it lasts",
  },
} as const satisfies Record<string, LogEventDefinition>;
