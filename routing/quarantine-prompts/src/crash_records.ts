/**
 * Remembers the latest crashes and the prompt parts of the requests that each of
 * them interrupted, by the entry that reported them.
 */

import type { CrashReport, LostPart } from "./types.ts";

type EntryLosses = Pick<CrashReport, "requests" | "parts">;

export interface CrashRecord {
  readonly target: string;
  /** When the answers broke off. */
  atMs: number;
  /** When the latest part was reported. */
  changedAtMs: number;
  readonly lossesByEntry: Map<string, EntryLosses>;
  /** True if a request with a quarantined part was interrupted. */
  isExplained: boolean;
}

export interface CrashRecordsOptions {
  readonly retentionMs: number;
  readonly maxCrashes: number;
}

export class CrashRecords {
  readonly #options: CrashRecordsOptions;
  readonly #crashes = new Map<string, CrashRecord>();

  private constructor(options: CrashRecordsOptions) {
    this.#options = options;
  }

  static create(options: CrashRecordsOptions): CrashRecords {
    return new CrashRecords(options);
  }

  get all(): readonly CrashRecord[] {
    return [...this.#crashes.values()];
  }

  /** Records an entry's report, which replaces its earlier one of the crash. */
  record(
    { target, ageMs, requests, parts }: CrashReport,
    { entry, nowMs }: { readonly entry: string; readonly nowMs: number },
  ): CrashRecord {
    const atMs = nowMs - ageMs;
    const crash = this.#crashes.get(target) ??
      this.#create({ target, atMs, changedAtMs: nowMs });
    const known = crash.lossesByEntry.get(entry)?.requests;
    if (known !== requests) crash.changedAtMs = nowMs;
    crash.lossesByEntry.set(entry, { requests, parts });
    crash.atMs = Math.min(crash.atMs, atMs);
    return crash;
  }

  /** Marks the crashes that the part explains. */
  explain(culprit: string): void {
    for (const crash of this.#crashes.values()) {
      crash.isExplained ||= listParts(crash).some(({ part }) =>
        part === culprit
      );
    }
  }

  expire(nowMs: number): void {
    for (const [target, { atMs }] of this.#crashes) {
      if (nowMs - atMs >= this.#options.retentionMs) {
        this.#crashes.delete(target);
      }
    }
  }

  #create(
    { target, atMs, changedAtMs }: Pick<
      CrashRecord,
      "target" | "atMs" | "changedAtMs"
    >,
  ): CrashRecord {
    if (this.#crashes.size >= this.#options.maxCrashes) {
      const [oldest] = this.#crashes.keys();
      if (oldest !== undefined) this.#crashes.delete(oldest);
    }
    const crash: CrashRecord = {
      target,
      atMs,
      changedAtMs,
      lossesByEntry: new Map(),
      isExplained: false,
    };
    this.#crashes.set(target, crash);
    return crash;
  }
}

/** Lists the parts of all interrupted requests; one that several entries report is repeated. */
export function listParts({ lossesByEntry }: CrashRecord): readonly LostPart[] {
  return [...lossesByEntry.values()].flatMap(({ parts }) => parts);
}

/** Counts the interrupted requests at all entries. */
export function countRequests({ lossesByEntry }: CrashRecord): number {
  return [...lossesByEntry.values()]
    .reduce((sum, { requests }) => sum + requests, 0);
}
