/** The pools and the contract that a site starts with. */

import { digestKey } from "@dandelionbank/check-credential";
import type { Contract, Pool } from "@dandelionbank/types";

export const SITE_POOLS: readonly Pool[] = [
  { name: "review", kind: "rank", models: ["plaque-7b"], routes: [] },
  { name: "chat", kind: "engine", models: ["reel-2b"], routes: [] },
  {
    name: "parts",
    kind: "plain",
    models: [],
    routes: [{ method: "GET", pathPrefix: "/", idempotent: true }],
  },
];

/** Creates a contract whose limits are too high for a test to reach by accident. */
export function createContract(
  organisation: string,
  callerKey: string,
): Contract {
  return {
    organisation,
    keyDigests: [digestKey(callerKey)],
    requestsPerSecond: 1_000,
    concurrentRequests: 1_000,
    tokensPerMinute: 60_000_000,
    shareWeight: 1,
    priority: 5,
    objective: {
      firstTokenMs: 1_100,
      betweenTokensMs: 72,
      answeredMs: 10_000,
    },
  };
}
