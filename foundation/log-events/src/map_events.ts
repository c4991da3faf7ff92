/** Events of expert maps and duties, numbered from 5000. */

import type { LogEventDefinition } from "./definition.ts";

export const MAP_EVENTS = {
  mapInForce: {
    id: 5000,
    level: "info",
    text: "Group {group} runs map {mapVersion} from step {step}",
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
    help: "Look for a rank of the group whose agent does not answer",
  },
  agentSuperseded: {
    id: 5003,
    level: "warn",
    text:
      "This agent of rank {rank} of group {group} has a successor and takes no further part",
    help: "End the process if its machine is still running",
  },
  groupJoined: {
    id: 5004,
    level: "info",
    text:
      "Rank {rank} of group {group} learnt map {mapVersion} from its peers in {rounds} rounds",
    help: "None needed",
  },
  dutyTaken: {
    id: 5010,
    level: "info",
    text: "Holding duty {duty} under number {fencingNumber}",
    help: "None needed",
  },
  dutyGivenUp: {
    id: 5011,
    level: "info",
    text: "Gave up duty {duty}, number {fencingNumber}",
    help: "None needed",
  },
  orderRefused: {
    id: 5012,
    level: "warn",
    text: "Refused order {orderId} from {peer}: {reason}",
    help:
      "None needed after a change of holder; else look for an entry that was paused",
  },
} as const satisfies Record<string, LogEventDefinition>;
