/** The directory of entries. */

export {
  createDirectoryListener,
  createReadinessListener,
} from "./answer_directory.ts";
export type { DirectoryOptions, RequestListener } from "./answer_directory.ts";
