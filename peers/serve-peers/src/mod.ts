/** The server of an entry or agent for its peers. */

export { PeerServer } from "./peer_server.ts";
export type {
  AttemptRequest,
  AttemptResponder,
  PeerServerOptions,
} from "./peer_server.ts";
