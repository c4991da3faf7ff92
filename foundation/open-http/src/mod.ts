/**
 * HTTP client for peers and targets, based on undici. Only undici's pool is
 * loaded: the whole library would take some ten megabytes more resident memory.
 */

export { HttpPool, mayLackBody, readBodyFraming } from "./http_pool.ts";
export type {
  BodyFraming,
  HttpAnswerHead,
  HttpConnector,
  HttpHandler,
  HttpPoolOptions,
  HttpRequest,
  RequestHandle,
} from "./http_pool.ts";
export { callJson, fetchAnswer } from "./fetch_answer.ts";
export type {
  BufferedAnswer,
  FetchOptions,
  JsonAnswer,
} from "./fetch_answer.ts";
export { TransferMeter } from "./transfer_meter.ts";
export { PieceThrottle } from "./piece_throttle.ts";
