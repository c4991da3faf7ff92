/** HTTP connection pools, one per target. */

import {
  HttpPool,
  PieceThrottle,
  TransferMeter,
} from "@dandelionbank/open-http";
import type { RegisteredTarget } from "@dandelionbank/types";

/** A running target accepts a connection within a few round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Shorter than the idle timeout that targets announce. */
const KEEP_ALIVE_MS = 4_000;
/**
 * Above one entry's concurrent requests to a target, below the target's limit.
 */
const MAX_CONNECTIONS = 48;

interface OpenPool {
  readonly address: string;
  readonly pool: HttpPool;
}

export class TargetPools {
  /** Counts what all targets send. */
  readonly meter = TransferMeter.create();
  readonly #throttle = PieceThrottle.create();
  readonly #pools = new Map<string, OpenPool>();

  private constructor() {}

  static create(): TargetPools {
    return new TargetPools();
  }

  /**
   * Returns the pool of a target, replacing it if the target's address
   * changed.
   */
  getPool({ run, address }: RegisteredTarget): HttpPool {
    const prior = this.#pools.get(run);
    if (prior !== undefined && prior.address === address) return prior.pool;
    if (prior !== undefined) drain(prior.pool);
    const pool = HttpPool.create({
      origin: `http://${address}`,
      connections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
      meter: this.meter,
      throttle: this.#throttle,
    });
    this.#pools.set(run, { address, pool });
    return pool;
  }

  /**
   * Drains the target's pool; requests in progress finish, new ones get a new
   * pool.
   */
  drainPool(run: string): void {
    const prior = this.#pools.get(run);
    if (prior === undefined) return;
    this.#pools.delete(run);
    drain(prior.pool);
  }

  /** Drains the pools of all other targets. */
  retainPools(runs: ReadonlySet<string>): void {
    for (const run of [...this.#pools.keys()]) {
      if (!runs.has(run)) this.drainPool(run);
    }
  }
}

function drain(pool: HttpPool): void {
  // Each request in progress reports its own error.
  void pool.drain().catch(() => undefined);
}
