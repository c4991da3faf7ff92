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
  RequestHandle,
} from "./http_pool.ts";
export { callJson, fetchAnswer } from "./fetch_answer.ts";
export type { BufferedAnswer, JsonAnswer } from "./fetch_answer.ts";
