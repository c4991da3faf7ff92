/** HTTP server for callers and for peers. */

export { HttpListener } from "./http_listener.ts";
export type { HttpListenerOptions } from "./http_listener.ts";
export { readArrivalMs } from "./pipeline_queue.ts";
