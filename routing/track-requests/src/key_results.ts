/**
 * The keys that this entry arbitrates: those under way, and the results of
 * those that ended, kept until their ticket has expired.
 */

import type {
  AttemptAnswerHead,
  FailedOutcome,
  UnknownOutcome,
} from "@dandelionbank/types";
import type { Request } from "./request.ts";

/** An answer that a repeat gets again. */
export interface KeptAnswer {
  readonly head: AttemptAnswerHead;
  readonly parts: readonly string[];
  readonly target: string | undefined;
  readonly lengthBytes: number;
  readonly digest: string;
}

export interface KeyResult {
  readonly organisation: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /** Whether the key may have run before, also for another call. */
  readonly mayHaveRunBefore: boolean;
  readonly expiresAtMs: number;
  /** Absent if the call was answered or may run again. */
  readonly outcome: FailedOutcome | UnknownOutcome | undefined;
  /** Absent if there is none, or was no room for it. */
  readonly answer: KeptAnswer | undefined;
}

export interface KeyResultLimits {
  readonly maxKeys: number;
  readonly maxKeptBytes: number;
}

export class KeyResults {
  readonly #limits: KeyResultLimits;
  readonly #active = new Map<string, Request>();
  readonly #once = new Map<string, KeyResult>();
  /** Results of calls that may be repeated: the first to go. */
  readonly #repeatable = new Map<string, KeyResult>();
  #keptBytes = 0;
  /** Keys whose tickets expire by then may have run and been forgotten. */
  #forgottenExpiresAtMs = -1;

  private constructor(limits: KeyResultLimits) {
    this.#limits = limits;
  }

  static create(limits: KeyResultLimits): KeyResults {
    return new KeyResults(limits);
  }

  get size(): number {
    return this.#active.size + this.#once.size + this.#repeatable.size;
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  findActive(keyId: string): Request | undefined {
    return this.#active.get(keyId);
  }

  findResult(keyId: string): KeyResult | undefined {
    return this.#once.get(keyId) ?? this.#repeatable.get(keyId);
  }

  /** Registers a key under way; false if there is no room for it. */
  claim(keyId: string, request: Request): boolean {
    this.#removeResult(keyId);
    if (this.size >= this.#limits.maxKeys) {
      this.#dropRepeatable(() => this.size < this.#limits.maxKeys);
    }
    if (this.size >= this.#limits.maxKeys) return false;
    this.#active.set(keyId, request);
    return true;
  }

  /** Whether a key that is not under way may have run. */
  mayHaveRun(keyId: string, expiresAtMs: number): boolean {
    return this.findResult(keyId) !== undefined ||
      expiresAtMs <= this.#forgottenExpiresAtMs;
  }

  /** Forgets a key under way, which never ran or may run again. */
  release(keyId: string): void {
    this.#active.delete(keyId);
  }

  /** Ends a key under way; its answer is kept if there is room. */
  end(keyId: string, result: KeyResult): void {
    this.#active.delete(keyId);
    const bytes = bytesOf(result);
    const fits = () => this.#keptBytes + bytes <= this.#limits.maxKeptBytes;
    if (!fits()) this.#dropRepeatable(fits);
    const kept = fits() ? result : { ...result, answer: undefined };
    this.#keptBytes += bytesOf(kept);
    const results = kept.idempotent ? this.#repeatable : this.#once;
    results.set(keyId, kept);
  }

  /** Forgets results whose tickets have expired. */
  expire(nowMs: number): void {
    for (const results of [this.#once, this.#repeatable]) {
      for (const [keyId, result] of results) {
        if (result.expiresAtMs > nowMs) break;
        this.#removeResult(keyId);
      }
    }
  }

  #dropRepeatable(isEnough: () => boolean): void {
    for (const [keyId, result] of this.#repeatable) {
      if (isEnough()) return;
      this.#removeResult(keyId);
      this.#forgottenExpiresAtMs = Math.max(
        this.#forgottenExpiresAtMs,
        result.expiresAtMs,
      );
    }
  }

  #removeResult(keyId: string): void {
    const result = this.findResult(keyId);
    if (result === undefined) return;
    this.#once.delete(keyId);
    this.#repeatable.delete(keyId);
    this.#keptBytes -= bytesOf(result);
  }
}

function bytesOf(result: KeyResult): number {
  return result.answer?.lengthBytes ?? 0;
}
