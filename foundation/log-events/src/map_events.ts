/** Events of expert maps and duties, numbered from 5000. */

import type { LogEventDefinition } from "./definition.ts";

export const MAP_EVENTS = {
  mapInForce: {
    id: 5000,
    level: "info",
    text: "Group {group} uses map {mapVersion} from step {step}",
    help: "None needed",
  },
  mapAborted: {
    id: 5001,
    level: "info",
    text: "Group {group} aborted map {mapVersion}",
    help: "None needed; the planner proposes another",
  },
  mapSwitchSlow: {
    id: 5002,
    level: "warn",
    text:
      "Rank {rank} of group {group} has waited {elapsedMs} ms for the outcome of map {mapVersion}",
    help: "Look for a rank of the group whose agent does not respond",
  },
  agentSuperseded: {
    id: 5003,
    level: "warn",
    text:
      "Agent of rank {rank} of group {group} was superseded by another and no longer takes part",
    help: "End the process if its VM is still running",
  },
  groupJoined: {
    id: 5004,
    level: "info",
    text:
      "Rank {rank} of group {group} received map {mapVersion} from its peers in {rounds} rounds",
    help: "None needed",
  },
  dutyTaken: {
    id: 5010,
    level: "info",
    text: "Acquired duty {duty} with fencing number {fencingNumber}",
    help: "None needed",
  },
  dutyGivenUp: {
    id: 5011,
    level: "info",
    text: "Released duty {duty}, fencing number {fencingNumber}",
    help: "None needed",
  },
  orderRefused: {
    id: 5012,
    level: "warn",
    text: "Order {orderId} from {peer} was refused: {reason}",
    help:
      "None needed after a change of holder; otherwise look for an entry that was paused",
  },
} as const satisfies Record<string, LogEventDefinition>;
