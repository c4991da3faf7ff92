/** The entries that run. */

export {
  createEntryTracker,
  listCallerAddresses,
  listLiveEntries,
  recordEntryStatus,
  sumActiveRequests,
} from "./follow_entries.ts";
export type { EntryStatus, EntryTracker } from "./follow_entries.ts";
