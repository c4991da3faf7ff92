/** Keeps an attempt's answer for repeats and for readers that reconnect. */

export { AnswerLog } from "./answer_log.ts";
export type { AnswerReader } from "./answer_log.ts";
