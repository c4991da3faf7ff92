/** Events of expert maps and duties, numbered from 5000. */

import type { LogEventDefinition } from "./definition.ts";

export const MAP_EVENTS = {
  mapInForce: {
    id: 5000,
    level: "info",
    text: "Group {group} runs map {mapVersion} from step {step}",
    help: "None needed",
  },
} as const satisfies Record<string, LogEventDefinition>;
