/**
 * The table of attempts that run or have run, by key. An attempt without a key
 * stands under a key of its own.
 *
 * Keys of calls that may not be repeated are kept for their whole life, and
 * new ones are refused when the table is full. All other records are spare:
 * they are dropped early when room is short.
 *
 * Records are many and live long, so they hold small whole numbers only: times
 * in tenths of a second and the first 56 bits of the fingerprint in two parts.
 */

import { AgingMap } from "./aging_map.ts";
import type { IncarnationRecord } from "./incarnation_table.ts";
import type { KeyStanding } from "./events.ts";

const TIME_UNIT_MS = 100;
const HEX_DIGITS_A_PART = 7;

export interface KeyRecord {
  /** The entry whose attempt runs or ran. */
  readonly entry: IncarnationRecord;
  readonly number: number;
  /** The entry that issued the key's ticket. */
  readonly home: IncarnationRecord | undefined;
  readonly issuedAt: number;
  readonly fingerprintHigh: number;
  readonly fingerprintLow: number;
  standing: KeyStanding;
  endedAt: number;
  keptBytes: number;
}

export interface KeyTableLimits {
  readonly maxKeys: number;
  readonly maxKeptBytes: number;
  readonly keyRetentionMs: number;
  readonly lingerMs: number;
}

/** Called for each record that leaves the table. */
export type OnForget = (record: KeyRecord) => void;

export function toTimeUnits(timeMs: number): number {
  return Math.floor(timeMs / TIME_UNIT_MS);
}

/** The last millisecond that falls into the unit. */
export function endOfTimeUnit(units: number): number {
  return (units + 1) * TIME_UNIT_MS - 1;
}

export function matchesFingerprint(
  record: KeyRecord,
  fingerprint: string,
): boolean {
  return record.fingerprintHigh === fingerprintPart(fingerprint, 0) &&
    record.fingerprintLow === fingerprintPart(fingerprint, 1);
}

export function fingerprintPart(fingerprint: string, part: 0 | 1): number {
  const from = part * HEX_DIGITS_A_PART;
  return Number.parseInt(fingerprint.slice(from, from + HEX_DIGITS_A_PART), 16);
}

export class KeyTable {
  readonly #limits: KeyTableLimits;
  readonly #once = AgingMap.create<KeyRecord>();
  readonly #spare = AgingMap.create<KeyRecord>();
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

  get onceCount(): number {
    return this.#once.size;
  }

  get spareCount(): number {
    return this.#spare.size;
  }

  /** Whether there is no room for one more key that may not be repeated. */
  get isFull(): boolean {
    return this.#once.size >= this.#limits.maxKeys ||
      this.#keptBytes >= this.#limits.maxKeptBytes;
  }

  find(keyId: string): KeyRecord | undefined {
    return this.#once.get(keyId) ?? this.#spare.get(keyId);
  }

  add(keyId: string, entry: { record: KeyRecord; once: boolean }): void {
    (entry.once ? this.#once : this.#spare).add(keyId, entry.record);
  }

  /** Takes out a record whose call never ran. */
  remove(keyId: string): void {
    this.#once.delete(keyId);
    this.#spare.delete(keyId);
  }

  /** Ends a record, which stays in its place among the others. */
  end(
    record: KeyRecord,
    end: { readonly standing: KeyStanding; readonly nowMs: number },
  ): void {
    record.standing = end.standing;
    record.endedAt = toTimeUnits(end.nowMs);
  }

  /** Makes room for an answer; returns whether it may be kept. */
  reserve(answerBytes: number, onForget: OnForget): boolean {
    const { maxKeptBytes } = this.#limits;
    if (answerBytes > maxKeptBytes) return false;
    if (this.#keptBytes + answerBytes > maxKeptBytes) {
      this.#dropSpare(
        () => this.#keptBytes + answerBytes <= maxKeptBytes,
        onForget,
      );
    }
    if (this.#keptBytes + answerBytes > maxKeptBytes) return false;
    this.#keptBytes += answerBytes;
    return true;
  }

  /** Drops the oldest spare records until at most `maxKeys` records stand. */
  trimSpare(onForget: OnForget): void {
    const fits = () =>
      this.#once.size + this.#spare.size <= this.#limits.maxKeys;
    if (!fits()) this.#dropSpare(fits, onForget);
  }

  /**
   * Forgets what has ended long enough ago, in the order of arrival: a record
   * may stay longer, behind one that ran longer.
   */
  expire(nowMs: number, onForget: OnForget): void {
    const { keyRetentionMs, lingerMs } = this.#limits;
    this.#expireMap(this.#once, {
      endedBefore: nowMs - keyRetentionMs,
      onForget,
    });
    this.#expireMap(this.#spare, { endedBefore: nowMs - lingerMs, onForget });
  }

  /** Every record of a key under a ticket of these homes. */
  *listByHome(homes: ReadonlySet<IncarnationRecord>): Iterable<
    { readonly keyId: string; readonly record: KeyRecord }
  > {
    for (const map of [this.#once, this.#spare]) {
      for (const [keyId, record] of map) {
        if (record.home && homes.has(record.home)) yield { keyId, record };
      }
    }
  }

  #dropSpare(isEnough: () => boolean, onForget: OnForget): void {
    for (const [keyId, record] of this.#spare) {
      if (isEnough()) return;
      if (record.standing === "running") continue;
      this.#forget(this.#spare, { keyId, record, onForget });
    }
  }

  #expireMap(
    map: AgingMap<KeyRecord>,
    options: { readonly endedBefore: number; readonly onForget: OnForget },
  ): void {
    const endedBefore = toTimeUnits(options.endedBefore);
    for (const [keyId, record] of map) {
      if (record.standing === "running") continue;
      if (record.endedAt >= endedBefore) return;
      this.#forget(map, { keyId, record, onForget: options.onForget });
    }
  }

  #forget(
    map: AgingMap<KeyRecord>,
    entry: { keyId: string; record: KeyRecord; onForget: OnForget },
  ): void {
    map.delete(entry.keyId);
    this.#keptBytes -= entry.record.keptBytes;
    entry.onForget(entry.record);
  }
}
