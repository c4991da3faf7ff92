/** What a caller is told when the answer is not the target's own. */

export { describeOutcome } from "./describe_outcome.ts";
export type { DescribedOutcome } from "./describe_outcome.ts";
export { REASONS } from "./reasons.ts";
export type { Reason } from "./reasons.ts";
