/** Events of a stream. */

export { EventSplitter } from "./event_splitter.ts";
export type { WholeEvents } from "./event_splitter.ts";
