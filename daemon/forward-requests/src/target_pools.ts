/** Connections to targets, one pool for each address. */

import { HttpPool } from "@dandelionbank/open-http";
import type { RegisteredTarget } from "@dandelionbank/types";

/** A target that is up answers a connection within a few round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Shorter than targets keep idle connections, as far as they say. */
const KEEP_ALIVE_MS = 4_000;
/** More than one entry has at one target at a time, and below its limit. */
const MAX_CONNECTIONS = 48;

interface KnownPool {
  readonly address: string;
  readonly pool: HttpPool;
}

export class TargetPools {
  readonly #pools = new Map<string, KnownPool>();

  private constructor() {}

  static create(): TargetPools {
    return new TargetPools();
  }

  /** The pool of a target, by its id; another address gets another pool. */
  open({ id, address }: RegisteredTarget): HttpPool {
    const known = this.#pools.get(id);
    if (known !== undefined && known.address === address) return known.pool;
    if (known !== undefined) drain(known.pool);
    const pool = HttpPool.create({
      origin: `http://${address}`,
      connections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
    });
    this.#pools.set(id, { address, pool });
    return pool;
  }

  /** New requests get new connections; those under way go on. */
  renew(id: string): void {
    const known = this.#pools.get(id);
    if (known === undefined) return;
    this.#pools.delete(id);
    drain(known.pool);
  }

  /** Drops the pools of targets that are gone. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of [...this.#pools.keys()]) {
      if (!ids.has(id)) this.renew(id);
    }
  }
}

function drain(pool: HttpPool): void {
  // Each request under way tells its own error.
  void pool.drain().catch(() => undefined);
}
