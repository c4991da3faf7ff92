/**
 * Lease under which this entry may arbitrate idempotency keys: the time for which
 * it may rely on its incarnation (this run of the process) not being closed by a
 * successor that takes over its keys. The lease counts from before the read of the
 * closing, so it never overlaps with a successor that waits for a full lease after
 * it wrote the closing. It is renewed only while the entry receives requests with
 * keys.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";

/** Enough for the lease to outlast a failed renewal. */
const RENEWALS_PER_LEASE = 3;
/** Time without a keyed request after which the lease is no longer renewed. */
const IDLE_TIMEOUT_MS = 30_000;

export interface ArbiterLeaseOptions {
  readonly incarnation: string;
  readonly leaseMs: number;
  readonly store: PlatformClient;
  readonly onRenewed: (untilMs: number) => void;
  readonly onIncarnationClosed: () => void;
}

export class ArbiterLease {
  readonly #options: ArbiterLeaseOptions;
  readonly #timer: NodeJS.Timeout;
  #lastUsedMs = -IDLE_TIMEOUT_MS;
  #isRenewing = false;

  private constructor(options: ArbiterLeaseOptions) {
    this.#options = options;
    this.#timer = setInterval(
      () => this.#renewIfUsed(),
      options.leaseMs / RENEWALS_PER_LEASE,
    );
  }

  static create(options: ArbiterLeaseOptions): ArbiterLease {
    return new ArbiterLease(options);
  }

  /** Records that a keyed request arrived; renews the lease if it was idle. */
  recordUse(): void {
    const nowMs = performance.now();
    const wasIdle = nowMs - this.#lastUsedMs >= IDLE_TIMEOUT_MS;
    this.#lastUsedMs = nowMs;
    if (wasIdle) void this.#renew();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #renewIfUsed(): void {
    if (performance.now() - this.#lastUsedMs < IDLE_TIMEOUT_MS) {
      void this.#renew();
    }
  }

  /** Checks whether the incarnation was closed, and renews the lease if not. */
  async #renew(): Promise<void> {
    if (this.#isRenewing) return;
    this.#isRenewing = true;
    const { store, incarnation, leaseMs } = this.#options;
    const readStartedMs = performance.now();
    try {
      const closing = await store.get("closing", incarnation);
      if (closing === undefined) {
        this.#options.onRenewed(readStartedMs + leaseMs);
      } else this.#options.onIncarnationClosed();
    } catch {
      // Without a renewal the lease expires.
    }
    this.#isRenewing = false;
  }
}
