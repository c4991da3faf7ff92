/** How many streams a group may run. */

export { createBatchLimit, noteGap, readBatchShare } from "./limit_batch.ts";
export type { BatchLimit } from "./limit_batch.ts";
