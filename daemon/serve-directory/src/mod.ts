/** The directory of entries. */

export {
  createDirectoryListener,
  createReadinessListener,
} from "./directory_listener.ts";
export type {
  DirectoryOptions,
  RequestListener,
} from "./directory_listener.ts";
