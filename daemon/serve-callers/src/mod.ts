/** The callers' side of an entry. */

export type { CallerAnswer, StartOptions } from "./caller_answer.ts";
export { CallerServer } from "./caller_server.ts";
export type {
  AddressAnswer,
  CallerGate,
  CallerServerOptions,
} from "./caller_server.ts";
export type { CallerRequest } from "./caller_request.ts";
