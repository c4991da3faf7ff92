/** Schemas of what the platform answers, and the types they are read into. */

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
