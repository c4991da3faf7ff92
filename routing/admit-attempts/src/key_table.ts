/**
 * Table of the attempts that run or have run, by key. An attempt without a key
 * gets a key of its own.
 *
 * Keys of calls that must run at most once are kept for their full retention
 * time, and new ones are refused while the table is full. All other records are
 * evictable: they are removed early when space is short.
 *
 * The table holds many long-lived records, so they contain only small integers:
 * times in tenths of a second (`Ds`) and the first 56 bits of the fingerprint in
 * two parts.
 */

import { AgingMap } from "./aging_map.ts";
import type { IncarnationRecord } from "./incarnation_table.ts";
import type { KeyStanding } from "./events.ts";

const DECISECOND_MS = 100;
const HEX_DIGITS_PER_PART = 7;

export interface KeyRecord {
  /** The entry whose attempt runs or ran. */
  readonly entry: IncarnationRecord;
  readonly number: number;
  /** The entry that issued the key's ticket; `undefined` without a key. */
  readonly home: IncarnationRecord | undefined;
  readonly issuedAtDs: number;
  readonly fingerprintHigh: number;
  readonly fingerprintLow: number;
  standing: KeyStanding;
  endedAtDs: number;
  keptBytes: number;
}

export interface KeyTableLimits {
  readonly maxKeys: number;
  readonly maxKeptBytes: number;
  readonly keyRetentionMs: number;
  readonly lingerMs: number;
}

/** Called for each record that expires or is evicted. */
export type OnEvict = (record: KeyRecord) => void;

export function toDeciseconds(timeMs: number): number {
  return Math.floor(timeMs / DECISECOND_MS);
}

/** Returns the last millisecond within a tenth of a second. */
export function lastMillisecondOf(deciseconds: number): number {
  return (deciseconds + 1) * DECISECOND_MS - 1;
}

export function matchesFingerprint(
  record: KeyRecord,
  fingerprint: string,
): boolean {
  return record.fingerprintHigh === fingerprintPart(fingerprint, 0) &&
    record.fingerprintLow === fingerprintPart(fingerprint, 1);
}

export function fingerprintPart(fingerprint: string, part: 0 | 1): number {
  const from = part * HEX_DIGITS_PER_PART;
  return Number.parseInt(
    fingerprint.slice(from, from + HEX_DIGITS_PER_PART),
    16,
  );
}

export class KeyTable {
  readonly #limits: KeyTableLimits;
  readonly #runsOnce = AgingMap.create<KeyRecord>();
  readonly #evictable = AgingMap.create<KeyRecord>();
  #keptBytes = 0;

  private constructor(limits: KeyTableLimits) {
    this.#limits = limits;
  }

  static create(limits: KeyTableLimits): KeyTable {
    return new KeyTable(limits);
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  get runsOnceCount(): number {
    return this.#runsOnce.size;
  }

  get evictableCount(): number {
    return this.#evictable.size;
  }

  /** Whether the table is full for keys of calls that must run at most once. */
  get isFull(): boolean {
    return this.#runsOnce.size >= this.#limits.maxKeys ||
      this.#keptBytes >= this.#limits.maxKeptBytes;
  }

  find(keyId: string): KeyRecord | undefined {
    return this.#runsOnce.get(keyId) ?? this.#evictable.get(keyId);
  }

  add(keyId: string, entry: { record: KeyRecord; runsOnce: boolean }): void {
    (entry.runsOnce ? this.#runsOnce : this.#evictable).add(
      keyId,
      entry.record,
    );
  }

  /** Removes a record whose call never ran or may run again. */
  remove(keyId: string): void {
    this.#runsOnce.delete(keyId);
    this.#evictable.delete(keyId);
  }

  /** Marks a record as ended; it keeps its position in the table. */
  markEnded(
    record: KeyRecord,
    end: { readonly standing: KeyStanding; readonly nowMs: number },
  ): void {
    record.standing = end.standing;
    record.endedAtDs = toDeciseconds(end.nowMs);
  }

  /** Reserves space for an answer; returns whether it may be kept. */
  reserve(answerBytes: number, onEvict: OnEvict): boolean {
    const { maxKeptBytes } = this.#limits;
    if (answerBytes > maxKeptBytes) return false;
    if (this.#keptBytes + answerBytes > maxKeptBytes) {
      this.#evictOldest(
        () => this.#keptBytes + answerBytes <= maxKeptBytes,
        onEvict,
      );
    }
    if (this.#keptBytes + answerBytes > maxKeptBytes) return false;
    this.#keptBytes += answerBytes;
    return true;
  }

  /** Evicts the oldest evictable records until at most `maxKeys` remain. */
  trimEvictable(onEvict: OnEvict): void {
    const fits = () =>
      this.#runsOnce.size + this.#evictable.size <= this.#limits.maxKeys;
    if (!fits()) this.#evictOldest(fits, onEvict);
  }

  /**
   * Removes records whose retention time has passed, in the order of arrival. A
   * record may stay longer behind one that ended later.
   */
  expire(nowMs: number, onEvict: OnEvict): void {
    const { keyRetentionMs, lingerMs } = this.#limits;
    this.#expireMap(this.#runsOnce, {
      endedBefore: nowMs - keyRetentionMs,
      onEvict,
    });
    this.#expireMap(this.#evictable, {
      endedBefore: nowMs - lingerMs,
      onEvict,
    });
  }

  /** Lists the records of keys whose tickets were issued by these homes. */
  *listByHome(homes: ReadonlySet<IncarnationRecord>): Iterable<
    { readonly keyId: string; readonly record: KeyRecord }
  > {
    for (const map of [this.#runsOnce, this.#evictable]) {
      for (const [keyId, record] of map) {
        if (record.home && homes.has(record.home)) yield { keyId, record };
      }
    }
  }

  #evictOldest(isEnough: () => boolean, onEvict: OnEvict): void {
    for (const [keyId, record] of this.#evictable) {
      if (isEnough()) return;
      if (record.standing === "running") continue;
      this.#evict(this.#evictable, { keyId, record, onEvict });
    }
  }

  #expireMap(
    map: AgingMap<KeyRecord>,
    options: { readonly endedBefore: number; readonly onEvict: OnEvict },
  ): void {
    const endedBefore = toDeciseconds(options.endedBefore);
    for (const [keyId, record] of map) {
      if (record.standing === "running") continue;
      if (record.endedAtDs >= endedBefore) return;
      this.#evict(map, { keyId, record, onEvict: options.onEvict });
    }
  }

  #evict(
    map: AgingMap<KeyRecord>,
    entry: { keyId: string; record: KeyRecord; onEvict: OnEvict },
  ): void {
    map.delete(entry.keyId);
    this.#keptBytes -= entry.record.keptBytes;
    entry.onEvict(entry.record);
  }
}
