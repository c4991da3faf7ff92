/** Events of an agent beside a rank on the users' platform, numbered from 11000. */

import type { LogEventDefinition } from "./definition.ts";

export const RANK_EVENTS = {
  rankAgentStarted: {
    id: 11000,
    level: "info",
    text: "Agent {name} follows the engine at {engine}",
    help: "None needed",
  },
  engineLost: {
    id: 11001,
    level: "warn",
    text: "The engine beside this agent does not answer: {reason}",
    help: "Look at the engine",
  },
  engineRegained: {
    id: 11002,
    level: "info",
    text: "The engine answers again: rank {rank} of {group}, epoch {epoch}",
    help: "None needed",
  },
  coordinatorFollowed: {
    id: 11003,
    level: "info",
    text: "Follows coordinator {coordinator}, term {term}",
    help: "None needed",
  },
  coordinatorStarted: {
    id: 11004,
    level: "info",
    text: "Coordinates {group} in term {term}: {reason}",
    help: "None needed",
  },
  coordinatorEnded: {
    id: 11005,
    level: "info",
    text: "No longer coordinates {group}: {reason}",
    help: "None needed",
  },
  mapPlanned: {
    id: 11006,
    level: "info",
    text:
      "Map {version} planned from {choices} choices over {windowMs} ms: skew {skewBefore} to {skewAfter}, {copies} copies",
    help: "None needed",
  },
  switchAdvanced: {
    id: 11007,
    level: "info",
    text:
      "Switch to map {version} of epoch {epoch}: {phase} at step {step} after {elapsedMs} ms",
    help: "None needed",
  },
  orderFailed: {
    id: 11008,
    level: "info",
    text: "Order {order} of term {term} ended {result}: {detail}",
    help: "Orders without an answer are repeated; conflicts are read again",
  },
  ordersDiscarded: {
    id: 11009,
    level: "info",
    text: "Orders of term {term} were refused, term {known} is known",
    help: "None needed",
  },
  ranksReadPast: {
    id: 11010,
    level: "info",
    text:
      "{asked} agents of {group} do not answer; {found} ranks were read past them, held: {held} ({reason})",
    help: "Look at the agents; no map changes until all answer",
  },
} as const satisfies Record<string, LogEventDefinition>;
