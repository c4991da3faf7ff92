/** Ends an HTTP answer in the middle, visibly for its caller. */

export { cutAnswer } from "./cut_answer.ts";
export { HeldAnswer, isEndedByConnection } from "./held_answer.ts";
export type { HeldHead } from "./held_answer.ts";
