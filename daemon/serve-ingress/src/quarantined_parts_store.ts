/**
 * Keeps the prompt parts that crash targets in the store, for entries that all
 * start anew at the same time. Entries that run tell each other in their status.
 *
 * The time of a quarantine is stored by the wall clock. Clocks of VMs differ by
 * seconds, which is little against the duration of a quarantine.
 */

import {
  isPromptPart,
  KINDS,
  type StoreClient,
  type StoredItem,
} from "@dandelionbank/platform-adapter";
import type { QuarantinedPart } from "@dandelionbank/quarantine-prompts";
import { QUARANTINE_MS } from "@dandelionbank/watch-suspects";
import { retryCall } from "./retry_call.ts";

/** Names of objects to remove; another writer's may mean another path in a URL. */
const REMOVABLE_NAME = /^[\w-]{1,64}$/;
/** A stored time that differs less is not written again. */
const MIN_CHANGE_MS = 60_000;

export interface QuarantinedPartsStoreOptions {
  readonly client: StoreClient;
  readonly isStopped: () => boolean;
}

interface StoredQuarantine {
  /** Unix milliseconds. */
  readonly endsAtMs: number;
}

export class QuarantinedPartsStore {
  readonly #options: QuarantinedPartsStoreOptions;

  private constructor(options: QuarantinedPartsStoreOptions) {
    this.#options = options;
  }

  static create(options: QuarantinedPartsStoreOptions): QuarantinedPartsStore {
    return new QuarantinedPartsStore(options);
  }

  /** Reads the parts that are refused now, and removes other objects. */
  async load(): Promise<readonly QuarantinedPart[]> {
    const { client, isStopped } = this.#options;
    const items = await retryCall(async () => {
      const result = await client.list(KINDS.quarantinedParts);
      return result.kind === "ok" ? result.value.items : undefined;
    }, isStopped);
    const nowMs = Date.now();
    const isRefused = (item: StoredItem) =>
      isPromptPart(item.name) && (readEnd(item) ?? 0) > nowMs;
    void this.#removeAll((items ?? []).filter((item) => !isRefused(item)));
    return (items ?? [])
      .filter(isRefused)
      .map((item) => ({
        part: item.name,
        remainingMs: Math.min(readEnd(item)! - nowMs, QUARANTINE_MS),
      }));
  }

  /** Removes objects; one that stays is removed at a later start. */
  async #removeAll(items: readonly StoredItem[]): Promise<void> {
    const { client } = this.#options;
    for (const item of items) {
      if (!REMOVABLE_NAME.test(item.name)) continue;
      await client.remove(KINDS.quarantinedParts, item);
    }
  }

  /** Stores the part, retrying until the store holds it. */
  async save({ part, remainingMs }: QuarantinedPart): Promise<void> {
    const spec: StoredQuarantine = { endsAtMs: Date.now() + remainingMs };
    await retryCall(
      async () => await this.#write({ name: part, spec }) ? true : undefined,
      this.#options.isStopped,
    );
  }

  /** Returns true if the store holds the part. */
  async #write(
    { name, spec }: { readonly name: string; readonly spec: StoredQuarantine },
  ): Promise<boolean> {
    const { client } = this.#options;
    const kind = KINDS.quarantinedParts;
    const created = await client.create(kind, { name, spec });
    if (created.kind === "ok") return true;
    if (created.kind !== "conflict") return false;
    // Other entries find the same part at the same time.
    const stored = await client.read(kind, name);
    if (stored.kind !== "ok") return false;
    const difference = Math.abs((readEnd(stored.value) ?? 0) - spec.endsAtMs);
    if (difference < MIN_CHANGE_MS) return true;
    const { revision } = stored.value;
    const replaced = await client.replace(kind, { name, revision, spec });
    return replaced.kind === "ok";
  }
}

function readEnd({ spec }: StoredItem): number | undefined {
  const endsAtMs = (spec as Partial<StoredQuarantine> | null)?.endsAtMs;
  return typeof endsAtMs === "number" ? endsAtMs : undefined;
}
