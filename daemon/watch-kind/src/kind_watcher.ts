/**
 * Watches one kind of objects: lists them, then long-polls for changes. Each
 * poll is short, since a dead connection is noticed only by its timeout, and
 * since each answer proves how current the view is. After a failure the objects
 * are listed again, which the store answers at once.
 */

import { computeBackoffMs } from "@dandelionbank/back-off";
import type { Logger } from "@dandelionbank/log-events";
import type {
  StoreClient,
  StoredChange,
  StoredItem,
} from "@dandelionbank/platform-adapter";
import { readInstant } from "@dandelionbank/read-instant";
import type { Instant } from "@dandelionbank/types";
import { setTimeout as delay } from "node:timers/promises";

/**
 * Minimum interval between calls. Batches objects that change one after
 * another, as when all targets start, and is shorter than any bound.
 */
const MIN_INTERVAL_MS = 250;
const FIRST_BACKOFF_MS = 200;
/**
 * Short compared with the bounds, so that a store that recovers is noticed in
 * time.
 */
const LONGEST_BACKOFF_MS = 800;

export type KindEvent =
  | {
    readonly type: "listed";
    readonly items: readonly StoredItem[];
    readonly revision: number;
    /**
     * True if the store has come back from an older copy since the last list, so
     * that the list lacks changes which were acknowledged before.
     */
    readonly isRestored: boolean;
  }
  | { readonly type: "changed"; readonly change: StoredChange }
  /** All changes made before `sentAt` have been reported. */
  | { readonly type: "proven"; readonly sentAt: Instant }
  /** The store stopped answering; sent once per outage. */
  | { readonly type: "lost" }
  /** The store answers again. */
  | { readonly type: "regained" };

export interface KindWatcherOptions {
  readonly client: StoreClient;
  readonly kind: string;
  /** Longest time that one call waits for a change. */
  readonly waitMs: number;
  readonly logger: Logger;
  readonly onEvent: (event: KindEvent) => void;
}

export class KindWatcher {
  readonly #options: KindWatcherOptions;
  #revision: number | undefined;
  /** The store's era at the last list. */
  #era: number | undefined;
  #outageStartedAtMs: number | undefined;
  #failures = 0;
  #isStopped = false;

  private constructor(options: KindWatcherOptions) {
    this.#options = options;
  }

  /** Creates a watcher and runs it until `stop`. */
  static create(options: KindWatcherOptions): KindWatcher {
    const watcher = new KindWatcher(options);
    void watcher.#run();
    return watcher;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#revision === undefined) {
        if (!await this.#list()) await this.#backOff();
        continue;
      }
      const nextAtMs = performance.now() + MIN_INTERVAL_MS;
      if (!await this.#watch(this.#revision)) await this.#backOff();
      await delay(Math.max(0, nextAtMs - performance.now()));
    }
  }

  async #list(): Promise<boolean> {
    const { client, kind, logger } = this.#options;
    const sentAt = readInstant();
    const result = await client.list(kind);
    if (this.#isStopped) return true;
    if (result.kind !== "ok") return this.#handleFailure(result);
    this.#handleSuccess();
    const { items, revision, era } = result.value;
    const previousEra = this.#era ?? era;
    const isRestored = era > previousEra;
    if (isRestored) logger.log("storeRestored", { kind, era, previousEra });
    this.#revision = revision;
    this.#era = era;
    if (!this.#apply({ type: "listed", items, revision, isRestored })) {
      return false;
    }
    return this.#apply({ type: "proven", sentAt });
  }

  async #watch(fromRevision: number): Promise<boolean> {
    const { client, kind, waitMs } = this.#options;
    const sentAt = readInstant();
    const result = await client.watch(kind, { fromRevision, waitMs });
    if (this.#isStopped) return true;
    if (result.kind === "historyGone") {
      this.#revision = undefined;
      return true;
    }
    if (result.kind !== "ok") return this.#handleFailure(result);
    this.#handleSuccess();
    const { changes, revision } = result.value;
    if (revision < fromRevision) {
      return this.#handleFailure({
        kind: "lost",
        reason: "answer with an older revision",
      });
    }
    this.#revision = revision;
    for (const change of changes) {
      if (!this.#apply({ type: "changed", change })) return false;
    }
    return this.#apply({ type: "proven", sentAt });
  }

  #handleFailure(
    result: {
      readonly kind: string;
      readonly reason?: string;
      readonly status?: number;
    },
  ): false {
    const { kind, logger } = this.#options;
    this.#revision = undefined;
    this.#failures += 1;
    if (this.#outageStartedAtMs !== undefined) return false;
    this.#outageStartedAtMs = performance.now();
    const reason = result.reason ?? `${result.kind} ${result.status ?? ""}`;
    logger.log("storeLost", { kind, reason });
    this.#apply({ type: "lost" });
    return false;
  }

  #handleSuccess(): void {
    this.#failures = 0;
    if (this.#outageStartedAtMs === undefined) return;
    const { kind, logger } = this.#options;
    const lostMs = Math.round(performance.now() - this.#outageStartedAtMs);
    this.#outageStartedAtMs = undefined;
    logger.log("storeRegained", { kind, lostMs });
    this.#apply({ type: "regained" });
  }

  /**
   * Applies an event; returns false if that throws. Nothing is proven then, and
   * the objects are listed again.
   */
  #apply(event: KindEvent): boolean {
    const { kind, logger, onEvent } = this.#options;
    try {
      onEvent(event);
      return true;
    } catch (error) {
      const name = event.type === "changed" ? event.change.item.name : "";
      logger.log("unexpectedError", {
        operation: `${event.type} ${kind} ${name}`.trimEnd(),
        detail: String(error),
      });
      this.#revision = undefined;
      this.#failures += 1;
      return false;
    }
  }

  async #backOff(): Promise<void> {
    await delay(computeBackoffMs(this.#failures, {
      firstMs: FIRST_BACKOFF_MS,
      longestMs: LONGEST_BACKOFF_MS,
      random: Math.random(),
    }));
  }
}
