/** HTTP server of an entry for its callers. */

export type { AnswerStartOptions, CallerAnswer } from "./caller_answer.ts";
export { CallerServer } from "./caller_server.ts";
export type {
  AddressAnswer,
  CallerHandlers,
  CallerServerOptions,
} from "./caller_server.ts";
export type { CallerRequest } from "./caller_request.ts";
