/**
 * Remembers the latest crashes and the prompt parts of the requests that each of
 * them interrupted, by the entry that reported them.
 */

import type { CrashReport, LostPart } from "./types.ts";

export interface CrashRecord {
  readonly target: string;
  /** When the answers broke off. */
  atMs: number;
  /** When the latest part was reported. */
  changedAtMs: number;
  readonly partsByEntry: Map<string, readonly LostPart[]>;
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
    { target, ageMs, parts }: CrashReport,
    { entry, nowMs }: { readonly entry: string; readonly nowMs: number },
  ): CrashRecord {
    const atMs = nowMs - ageMs;
    const crash = this.#crashes.get(target) ??
      this.#create({ target, atMs, changedAtMs: nowMs });
    const known = crash.partsByEntry.get(entry)?.length;
    if (known !== parts.length) crash.changedAtMs = nowMs;
    crash.partsByEntry.set(entry, parts);
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
      partsByEntry: new Map(),
      isExplained: false,
    };
    this.#crashes.set(target, crash);
    return crash;
  }
}

/** Lists the parts of all interrupted requests; one that several entries report is repeated. */
export function listParts({ partsByEntry }: CrashRecord): readonly LostPart[] {
  return [...partsByEntry.values()].flat();
}
