/** Splitting of event streams into events, and checks of their order and end. */

export { EventSequence } from "./event_sequence.ts";
export { EventSplitter } from "./event_splitter.ts";
export type { CompleteEvents } from "./event_splitter.ts";
export { StreamTail } from "./stream_tail.ts";
