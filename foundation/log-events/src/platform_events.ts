/** Events of the platform client, numbered from 4000. */

import type { LogEventDefinition } from "./definition.ts";

export const PLATFORM_EVENTS = {
  platformUnreachable: {
    id: 4000,
    level: "warn",
    text: "The platform does not answer: {message}",
    help: "Requests are served with the last view; see docs/OPERATIONS.md",
  },
  platformReachable: {
    id: 4001,
    level: "info",
    text: "The platform answers again",
    help: "None needed",
  },
  objectRefused: {
    id: 4002,
    level: "error",
    text:
      "Object {kind}/{name} at revision {revision} is malformed: {problems}",
    help: "The last valid value stays in force; write a valid one",
  },
  olderStateIgnored: {
    id: 4003,
    level: "warn",
    text:
      "The platform returned revision {revision}, older than revision {viewRevision}",
    help:
      "If this lasts, the platform's store was restored to an older state; restart the entries",
  },
  registrationRetried: {
    id: 4010,
    level: "warn",
    text: "Registration {kind}/{name} has not been written yet: {message}",
    help: "The write is retried; check the platform if this lasts",
  },
  registrationKept: {
    id: 4011,
    level: "warn",
    text: "Registration {kind}/{name} could not be deleted: {message}",
    help: "Delete the object when the platform answers again",
  },
} as const satisfies Record<string, LogEventDefinition>;
