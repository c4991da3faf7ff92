/** An attempt's answer, kept for repeats and for connections that were lost. */

export { AnswerLog } from "./answer_log.ts";
export type { AnswerReader } from "./answer_log.ts";
