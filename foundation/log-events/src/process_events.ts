/** Events of any process, numbered from 1000. */

import type { LogEventDefinition } from "./definition.ts";

export const PROCESS_EVENTS = {
  processStarted: {
    id: 1000,
    level: "info",
    text: "Started {role} {name}, version {version}",
    help: "None needed",
  },
  processStopping: {
    id: 1001,
    level: "info",
    text: "Stopping on {signal}",
    help: "None needed",
  },
  processStopped: {
    id: 1002,
    level: "info",
    text: "Stopped after {elapsedMs} ms",
    help: "None needed",
  },
  invariantViolated: {
    id: 1003,
    level: "error",
    text: "Invariant {invariant} violated: {detail}",
    help:
      "Report it with the surrounding log lines; the operation concerned was refused",
  },
  unexpectedError: {
    id: 1004,
    level: "error",
    text: "Error in {operation}, which was ended: {detail}",
    help: "Report it with the surrounding log lines; other work goes on",
  },
} as const satisfies Record<string, LogEventDefinition>;
