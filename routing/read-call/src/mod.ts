/** Parsing of callers' requests according to the configuration. */

export { readCall } from "./read_call.ts";
export type {
  Call,
  CallErrorCode,
  CallInput,
  CallResult,
} from "./read_call.ts";
