/** The entries that run. */

export {
  createFollowedEntries,
  listAddresses,
  listLiveEntries,
  noteEntry,
  sumActive,
} from "./follow_entries.ts";
export type { EntryStatus, FollowedEntries } from "./follow_entries.ts";
