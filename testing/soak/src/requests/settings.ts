/** Times and bounds of the soak `requests`. */

import type { AgentPlace } from "./agent_node.ts";

/** Which nodes a run has, and whether targets fail by themselves. */
export interface SitePlan {
  readonly entries: readonly string[];
  readonly agents: readonly AgentPlace[];
  readonly callers: readonly string[];
  readonly targetsFail: boolean;
  /** Whether callers wait for their whole time before they send again. */
  readonly callersWait: boolean;
  /** Multiplies the bounds of the nodes' tables. */
  readonly room: number;
}

export const SMALL_SITE: SitePlan = {
  entries: ["entry1", "entry2", "entry3"],
  agents: [
    { target: "plain1", pool: "plain" },
    { target: "plain2", pool: "plain" },
    { target: "plain3", pool: "plain" },
    { target: "engine1", pool: "engine" },
    { target: "engine2", pool: "engine" },
  ],
  callers: ["caller1", "caller2", "caller3"],
  targetsFail: true,
  callersWait: false,
  room: 1,
};

export const TICK_MS = 50;
export const BEAT_MS = 150;
export const SILENCE_MS = 500;
export const LEASE_MS = 400;
export const TICKET_VALIDITY_MS = 3_000;
export const PROGRESS_TIMEOUT_MS = 200;
export const HEARTBEAT_MS = 70;
export const REQUEST_TIMEOUT_MS = 1_000;
export const KEY_LIFE_MS = 8_000;

/** Work begins and faults happen until then. */
export const FAULTS_END_MS = 4_000;
/** Everything must be over by then. */
export const RUN_END_MS = 11_000;
