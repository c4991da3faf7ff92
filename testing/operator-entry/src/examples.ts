/** An example contract, and the status report that every entry of these tests returns. */

import { digestKey } from "@dandelionbank/check-credential";
import type { Contract, StatusReport } from "@dandelionbank/types";

const ENTRY = { name: "e1", dataCentre: "kochi-1", callerUrl: "http://h" };
const TARGET = {
  name: "r3",
  kind: "rank",
  pool: "drafting",
  dataCentre: "kochi-2",
  place: { group: "g", rank: 3, groupSize: 4 },
} as const;
export const EXAMPLE_STATUS: StatusReport = {
  entry: ENTRY,
  version: "0.1.0",
  incarnation: "i1",
  isReady: false,
  notReadyReasons: ["no config"],
  viewRevision: 7,
  isPlatformReachable: true,
  entries: [ENTRY],
  targets: [{
    target: TARGET,
    state: "serving",
    load: { inFlight: 2, queued: 1, cachedTokens: 9 },
  }],
  outcomes: { answered: 5, notRun: 1, unknown: 0, failed: 0 },
};
export const EXAMPLE_CONTRACT: Contract = {
  organisation: "trust",
  keyDigests: [digestKey("caller")],
  requestsPerSecond: 10,
  concurrentRequests: 4,
  tokensPerMinute: 60_000,
  shareWeight: 1,
  priority: 5,
  objective: { firstTokenMs: 500, betweenTokensMs: 100, answeredMs: 9_000 },
};
