/** Selection of relays in a large group. */

export { computeMaxConcurrentCalls, planRelays } from "./plan_relays.ts";
export type { RelayCandidate, RelayPlan } from "./plan_relays.ts";
