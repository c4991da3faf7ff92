/** Events of an agent, numbered from 3000. */

import type { LogEventDefinition } from "./definition.ts";

export const AGENT_EVENTS = {
  attemptEnded: {
    id: 3000,
    level: "debug",
    text: "Attempt {attemptId} ended with result {result}",
    help: "None needed",
  },
  admissionOpened: {
    id: 3001,
    level: "info",
    text: "Target {target} admits attempts, agent incarnation {incarnation}",
    help: "None needed",
  },
  admissionWaits: {
    id: 3002,
    level: "warn",
    text: "Closed incarnations of entries could not be read yet: {message}",
    help:
      "No attempt is admitted until they are read; check the platform if this lasts",
  },
  targetDrained: {
    id: 3003,
    level: "info",
    text:
      "Target {target} was drained in {elapsedMs} ms: no attempt is in flight",
    help: "The target can be stopped",
  },
  targetCut: {
    id: 3004,
    level: "warn",
    text:
      "Drain timeout of target {target} expired with {inFlight} attempts in flight",
    help: "Raise drainTimeoutMs in the configuration if requests take longer",
  },
  targetPaused: {
    id: 3005,
    level: "info",
    text:
      "The target answered attempt {attemptId} that it wants no calls for {pauseMs} ms",
    help: "The target is overloaded; calls are refused or go to other targets",
  },
  targetPauseRejected: {
    id: 3006,
    level: "warn",
    text:
      "The target answered attempt {attemptId} with a Retry-After of {value}, which is no number of seconds",
    help: "Check the target's program",
  },
} as const satisfies Record<string, LogEventDefinition>;
