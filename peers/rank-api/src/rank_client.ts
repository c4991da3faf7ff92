/** Client with which a coordinator calls the agent of a rank. */

import { HttpPool } from "@dandelionbank/open-http";
import { createPeerLink } from "@dandelionbank/trpc-over-http";
import { createTRPCClient, type TRPCClient } from "@trpc/client";
import type { RankRouter } from "./rank_router.ts";

/** Path at which agents serve the router. */
export const RANK_PATH = "/trpc";
/** One poll, one order, and one call that has not timed out yet. */
const MAX_CONNECTIONS = 3;

export interface RankClient {
  readonly calls: TRPCClient<RankRouter>;
  close(): void;
}

export function createRankClient(
  { address, timeoutMs }: {
    /** `IP:PORT`. */
    readonly address: string;
    readonly timeoutMs: number;
  },
): RankClient {
  const pool = HttpPool.create({
    origin: `http://${address}`,
    connections: MAX_CONNECTIONS,
    connectTimeoutMs: timeoutMs,
  });
  const link = createPeerLink({ pool, path: RANK_PATH, timeoutMs });
  return {
    calls: createTRPCClient<RankRouter>({ links: [link] }),
    // Calls in flight report their own errors.
    close: () => void pool.drain().catch(() => undefined),
  };
}
