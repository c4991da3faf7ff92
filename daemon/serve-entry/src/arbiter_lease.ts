/**
 * Renews this entry's certainty that its incarnation was not closed. The time
 * counts from before the closings were read, so a successor that waits for a
 * whole lease after its closing never overlaps. Only an entry that arbitrates
 * keys reads.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";

const RENEWALS_PER_LEASE = 3;
/** Without a keyed request for this long, the lease is let go. */
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

  /** A keyed request arrived. */
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

  async #renew(): Promise<void> {
    if (this.#isRenewing) return;
    this.#isRenewing = true;
    const { store, incarnation, leaseMs } = this.#options;
    const askedMs = performance.now();
    try {
      const closing = await store.get("closing", incarnation);
      if (closing === undefined) this.#options.onRenewed(askedMs + leaseMs);
      else this.#options.onIncarnationClosed();
    } catch {
      // The lease runs out by itself.
    }
    this.#isRenewing = false;
  }
}
