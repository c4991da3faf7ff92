/** Sites, intervals and timeouts of the soak `requests`. */

import type { AgentSpec } from "./agent_node.ts";

/** The nodes of a run and the behaviour of its targets and callers. */
export interface SitePlan {
  readonly entries: readonly string[];
  readonly agents: readonly AgentSpec[];
  readonly callers: readonly string[];
  /** Whether targets fail, stall and report overload at random. */
  readonly targetsFail: boolean;
  /** Whether callers wait for the full request timeout before they resubmit. */
  readonly callersWait: boolean;
  /** Factor for the size limits of the nodes' tables. */
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

export const TICK_INTERVAL_MS = 50;
export const PING_INTERVAL_MS = 150;
export const PING_TIMEOUT_MS = 500;
export const LEASE_DURATION_MS = 400;
export const TICKET_VALIDITY_MS = 3_000;
export const PROGRESS_TIMEOUT_MS = 200;
export const HEARTBEAT_INTERVAL_MS = 70;
export const REQUEST_TIMEOUT_MS = 1_000;
export const KEY_RETENTION_MS = 8_000;

/** Calls begin and faults are injected before this time. */
export const FAULTS_END_MS = 4_000;
/** Every request must have ended by this time. */
export const RUN_END_MS = 11_000;
