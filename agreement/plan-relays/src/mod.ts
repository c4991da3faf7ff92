/** Relays of a large group. */

export { countCallsAtOnce, planRelays } from "./plan_relays.ts";
export type { RelayCandidate, RelayPlan } from "./plan_relays.ts";
