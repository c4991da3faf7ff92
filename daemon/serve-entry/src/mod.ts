/** The entry process, composed of its tasks. */

export { EntryProcess } from "./entry_process.ts";
export type { EntryProcessOptions } from "./entry_process.ts";
