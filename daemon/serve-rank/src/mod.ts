/** The agent process beside a rank's engine. */

export { RankProcess } from "./rank_process.ts";
export type { RankProcessOptions } from "./rank_process.ts";
