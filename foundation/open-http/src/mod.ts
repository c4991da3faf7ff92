/**
 * HTTP towards peers and targets by undici. Only undici's pool is loaded: the
 * whole library takes some ten megabytes more of resident memory.
 */

export { HttpPool } from "./http_pool.ts";
export type {
  HttpAnswerHead,
  HttpConnector,
  HttpHandler,
  HttpPoolOptions,
  HttpRequest,
  RunningRequest,
} from "./http_pool.ts";
export { callJson, readWhole } from "./read_whole.ts";
export type { JsonAnswer, WholeAnswer } from "./read_whole.ts";
