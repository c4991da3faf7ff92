/**
 * Table of the keys that this entry arbitrates: active requests, and the results
 * of ended ones, which are kept until their ticket expires.
 */

import type {
  AttemptAnswerHead,
  FailedOutcome,
  UnknownOutcome,
} from "@dandelionbank/types";
import type { Request } from "./request.ts";

/** A complete answer, kept to be replayed to repeats of its request. */
export interface KeptAnswer {
  readonly head: AttemptAnswerHead;
  readonly chunks: readonly string[];
  readonly target: string | undefined;
  readonly lengthBytes: number;
  readonly digest: string;
}

export interface KeyResult {
  readonly organisation: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /** Whether the key may have run before this request, also for another one. */
  readonly mayHaveRunBefore: boolean;
  readonly expiresAtMs: number;
  /** Absent if the request was answered or may run again. */
  readonly outcome: FailedOutcome | UnknownOutcome | undefined;
  /** Absent if there was no answer or no space to keep it. */
  readonly answer: KeptAnswer | undefined;
}

export interface KeyResultLimits {
  readonly maxKeys: number;
  readonly maxKeptBytes: number;
}

export class KeyResults {
  readonly #limits: KeyResultLimits;
  readonly #active = new Map<string, Request>();
  readonly #nonIdempotent = new Map<string, KeyResult>();
  /** Results of idempotent requests, which are evicted first. */
  readonly #idempotent = new Map<string, KeyResult>();
  #keptBytes = 0;
  /** Keys whose tickets expire at or before this time may have been evicted. */
  #evictedExpiresAtMs = -1;

  private constructor(limits: KeyResultLimits) {
    this.#limits = limits;
  }

  static create(limits: KeyResultLimits): KeyResults {
    return new KeyResults(limits);
  }

  get size(): number {
    return this.#active.size + this.#nonIdempotent.size + this.#idempotent.size;
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  findActive(keyId: string): Request | undefined {
    return this.#active.get(keyId);
  }

  findResult(keyId: string): KeyResult | undefined {
    return this.#nonIdempotent.get(keyId) ?? this.#idempotent.get(keyId);
  }

  /** Marks a key as active; returns false if the table is full. */
  claim(keyId: string, request: Request): boolean {
    this.#removeResult(keyId);
    if (this.size >= this.#limits.maxKeys) {
      this.#evictIdempotent(() => this.size < this.#limits.maxKeys);
    }
    if (this.size >= this.#limits.maxKeys) return false;
    this.#active.set(keyId, request);
    return true;
  }

  /** Returns whether a key that is not active may have run. */
  mayHaveRun(keyId: string, expiresAtMs: number): boolean {
    return this.findResult(keyId) !== undefined ||
      expiresAtMs <= this.#evictedExpiresAtMs;
  }

  /** Removes an active key that never ran or may run again. */
  release(keyId: string): void {
    this.#active.delete(keyId);
  }

  /** Replaces an active key by its result; the answer is kept if it fits. */
  complete(keyId: string, result: KeyResult): void {
    this.#active.delete(keyId);
    const bytes = keptBytesOf(result);
    const fits = () => this.#keptBytes + bytes <= this.#limits.maxKeptBytes;
    if (!fits()) this.#evictIdempotent(fits);
    const kept = fits() ? result : { ...result, answer: undefined };
    this.#keptBytes += keptBytesOf(kept);
    const results = kept.idempotent ? this.#idempotent : this.#nonIdempotent;
    results.set(keyId, kept);
  }

  /** Removes results whose tickets have expired. */
  expire(nowMs: number): void {
    for (const results of [this.#nonIdempotent, this.#idempotent]) {
      for (const [keyId, result] of results) {
        if (result.expiresAtMs > nowMs) break;
        this.#removeResult(keyId);
      }
    }
  }

  #evictIdempotent(isEnough: () => boolean): void {
    for (const [keyId, result] of this.#idempotent) {
      if (isEnough()) return;
      this.#removeResult(keyId);
      this.#evictedExpiresAtMs = Math.max(
        this.#evictedExpiresAtMs,
        result.expiresAtMs,
      );
    }
  }

  #removeResult(keyId: string): void {
    const result = this.findResult(keyId);
    if (result === undefined) return;
    this.#nonIdempotent.delete(keyId);
    this.#idempotent.delete(keyId);
    this.#keptBytes -= keptBytesOf(result);
  }
}

function keptBytesOf(result: KeyResult): number {
  return result.answer?.lengthBytes ?? 0;
}
