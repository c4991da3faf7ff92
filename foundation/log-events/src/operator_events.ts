/** Events of operators' calls, numbered from 8000. */

import type { LogEventDefinition } from "./definition.ts";

export const OPERATOR_EVENTS = {
  operatorWrote: {
    id: 8000,
    level: "info",
    text: "Operator {operator} wrote {kind} {name} at revision {revision}",
    help: "None needed",
  },
  operatorDeleted: {
    id: 8001,
    level: "info",
    text: "Operator {operator} deleted {kind} {name}",
    help: "None needed",
  },
  operatorConflict: {
    id: 8002,
    level: "info",
    text:
      "Change of {kind} {name} by operator {operator} conflicted with another change",
    help: "None needed; the operator was shown both sides",
  },
  operatorRefused: {
    id: 8003,
    level: "warn",
    text: "A call to the operators' interface was refused: {reason}",
    help: "Look for a wrong or revoked key, or for an attack",
  },
  operatorCallFailed: {
    id: 8004,
    level: "warn",
    text: "Call {procedure} of operator {operator} failed: {code}",
    help: "Check the state of the platform",
  },
} as const satisfies Record<string, LogEventDefinition>;
