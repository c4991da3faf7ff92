/** Credentials and transport for calls to peers. */

import type { HttpConnector } from "@dandelionbank/open-http";

export interface PeerAccess {
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
  /** Timeout of one call. */
  readonly timeoutMs: number;
}
