/** Splitting of event streams into events, and checks of their end. */

export { EventSplitter } from "./event_splitter.ts";
export type { CompleteEvents } from "./event_splitter.ts";
export { StreamTail } from "./stream_tail.ts";
