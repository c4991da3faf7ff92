/** Parses and validates the answers of the platform's object API. */

export {
  parseConflict,
  parseDeleted,
  parseObjectList,
  parseStoredObject,
  parseVmList,
  parseWatchLine,
} from "./parse_answers.ts";
export type { WatchLine } from "./parse_answers.ts";
export { MALFORMED_ANSWER_CODE } from "./parse_json.ts";
