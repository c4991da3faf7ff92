/** Tracking of live entries. */

export {
  createEntryTracker,
  listCallerAddresses,
  listLiveEntries,
  recordEntryStatus,
  sumActiveRequests,
} from "./entry_tracker.ts";
export type {
  CrashStatus,
  EntryStatus,
  EntryTracker,
} from "./entry_tracker.ts";
