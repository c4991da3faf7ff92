/** What is needed to call a peer. */

import type { HttpConnector } from "@dandelionbank/open-http";

export interface PeerAccess {
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
  /** Longest wait for one answer. */
  readonly timeoutMs: number;
}
