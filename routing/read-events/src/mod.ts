/** Events of a stream. */

export { EventSplitter } from "./event_splitter.ts";
export type { CompleteEvents } from "./event_splitter.ts";
