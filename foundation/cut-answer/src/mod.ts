/** Ends an HTTP answer in the middle, visibly for its caller. */

export { cutAnswer } from "./cut_answer.ts";
