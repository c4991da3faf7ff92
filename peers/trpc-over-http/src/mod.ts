/** tRPC over Node's own HTTP requests. */

export { createPeerLink } from "./create_link.ts";
export type { PeerLinkOptions } from "./create_link.ts";
export { serveCall } from "./serve_call.ts";
export type { ServeCallOptions } from "./serve_call.ts";
