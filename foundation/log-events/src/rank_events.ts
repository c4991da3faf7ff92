/** Events of the agent of a rank on the users' platform, numbered from 11000. */

import type { LogEventDefinition } from "./definition.ts";

export const RANK_EVENTS = {
  rankAgentStarted: {
    id: 11000,
    level: "info",
    text: "Agent {name} serves the engine at {engine}",
    help: "None needed",
  },
  engineLost: {
    id: 11001,
    level: "warn",
    text: "The engine of this agent does not answer: {reason}",
    help: "Check the engine",
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
    text: "Following coordinator {coordinator} in term {term}",
    help: "None needed",
  },
  coordinatorStarted: {
    id: 11004,
    level: "info",
    text: "Started to coordinate group {group} in term {term}: {reason}",
    help: "None needed",
  },
  coordinatorEnded: {
    id: 11005,
    level: "info",
    text: "Stopped coordinating group {group}: {reason}",
    help: "None needed",
  },
  mapPlanned: {
    id: 11006,
    level: "info",
    text:
      "Map {version} planned from {choices} expert choices over {windowMs} ms: skew {skewBefore} to {skewAfter}, {copies} copies",
    help: "None needed",
  },
  switchAdvanced: {
    id: 11007,
    level: "info",
    text:
      "Switch to map {version} in epoch {epoch}: phase {phase} at step {step} after {elapsedMs} ms",
    help: "None needed",
  },
  orderFailed: {
    id: 11008,
    level: "info",
    text: "Order {order} of term {term} ended with result {result}: {detail}",
    help:
      "Unanswered orders are repeated; after a conflict the rank's state is read again",
  },
  ordersDiscarded: {
    id: 11009,
    level: "info",
    text: "Orders of term {term} were refused: term {known} is newer",
    help: "None needed",
  },
  ranksReadPast: {
    id: 11010,
    level: "info",
    text:
      "{asked} agents of group {group} do not respond; {found} ranks were read directly, held: {held} ({reason})",
    help: "Check the agents; the map does not change until all of them respond",
  },
  releaseForwarded: {
    id: 11011,
    level: "info",
    text:
      "Order of term {term} from {coordinator} to release step {step} in epoch {epoch} is sent to the engine",
    help: "None needed",
  },
} as const satisfies Record<string, LogEventDefinition>;
