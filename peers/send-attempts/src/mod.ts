/** The entry's side of an attempt. */

export { PeerConnection } from "./peer_connection.ts";
export type {
  AttemptListener,
  PeerConnectionOptions,
} from "./peer_connection.ts";
