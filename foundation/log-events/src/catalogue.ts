/** All log events. Each domain has its own file and its own thousand of ids. */

import { PROCESS_EVENTS } from "./process_events.ts";
import { ENTRY_EVENTS } from "./entry_events.ts";
import { AGENT_EVENTS } from "./agent_events.ts";
import { PLATFORM_EVENTS } from "./platform_events.ts";
import { MAP_EVENTS } from "./map_events.ts";
import { LIMIT_EVENTS } from "./limit_events.ts";
import { REQUEST_EVENTS } from "./request_events.ts";
import { OPERATOR_EVENTS } from "./operator_events.ts";
import { TLS_EVENTS } from "./tls_events.ts";
import { INGRESS_EVENTS } from "./ingress_events.ts";
import { RANK_EVENTS } from "./rank_events.ts";

export const LOG_EVENTS = {
  ...PROCESS_EVENTS,
  ...ENTRY_EVENTS,
  ...AGENT_EVENTS,
  ...PLATFORM_EVENTS,
  ...MAP_EVENTS,
  ...LIMIT_EVENTS,
  ...REQUEST_EVENTS,
  ...OPERATOR_EVENTS,
  ...TLS_EVENTS,
  ...INGRESS_EVENTS,
  ...RANK_EVENTS,
} as const;
