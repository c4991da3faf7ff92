/** The peers' side of an entry or an agent. */

export { PeerServer } from "./peer_server.ts";
export type {
  AttemptRequest,
  AttemptResponder,
  PeerServerOptions,
} from "./peer_server.ts";
