/** An agent beside a rank. */

export { RankProcess } from "./rank_process.ts";
export type { RankProcessOptions } from "./rank_process.ts";
