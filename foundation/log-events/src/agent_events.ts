/** Events of an agent, numbered from 3000. */

import type { LogEventDefinition } from "./definition.ts";

export const AGENT_EVENTS = {
  attemptEnded: {
    id: 3000,
    level: "debug",
    text: "Attempt {attemptId} ended {result}",
    help: "None needed",
  },
  admissionOpened: {
    id: 3001,
    level: "info",
    text: "Target {target} takes attempts, incarnation {incarnation}",
    help: "None needed",
  },
  admissionWaits: {
    id: 3002,
    level: "warn",
    text: "Closings could not be read yet: {message}",
    help: "No attempt is taken before; look at the platform if it lasts",
  },
  targetDrained: {
    id: 3003,
    level: "info",
    text: "Target {target} has no attempt in flight after {elapsedMs} ms",
    help: "The target can be stopped",
  },
  targetCut: {
    id: 3004,
    level: "warn",
    text: "Target {target} still had {inFlight} attempts at its drain timeout",
    help: "Raise drainTimeoutMs in the configuration if requests take longer",
  },
} as const satisfies Record<string, LogEventDefinition>;
