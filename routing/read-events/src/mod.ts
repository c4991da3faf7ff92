/** Splitting of event streams into events. */

export { EventSplitter } from "./event_splitter.ts";
export type { CompleteEvents } from "./event_splitter.ts";
