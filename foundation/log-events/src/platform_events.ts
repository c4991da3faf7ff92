/** Events of the platform client, numbered from 4000. */

import type { LogEventDefinition } from "./definition.ts";

export const PLATFORM_EVENTS = {
  platformUnreachable: {
    id: 4000,
    level: "warn",
    text: "The platform does not answer: {message}",
    help: "Traffic goes on with the last view; see docs/OPERATIONS.md",
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
    help: "The last good value stays in force; write a correct one",
  },
  olderStateIgnored: {
    id: 4003,
    level: "warn",
    text:
      "The platform showed revision {revision} after revision {viewRevision}",
    help: "If it lasts, the platform's store was set back; restart the entries",
  },
  registrationRetried: {
    id: 4010,
    level: "warn",
    text: "Registration {kind}/{name} is not written yet: {message}",
    help: "It is tried again; look at the platform if it lasts",
  },
  registrationKept: {
    id: 4011,
    level: "warn",
    text: "Registration {kind}/{name} could not be withdrawn: {message}",
    help: "Delete the object when the platform answers again",
  },
} as const satisfies Record<string, LogEventDefinition>;
