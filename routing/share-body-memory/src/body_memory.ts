/**
 * A budget for the memory of all bodies that a process keeps. A body claims room
 * before it is read on; without room, its reading pauses. Small bodies have a
 * reserve, so that large ones can't hold them up.
 *
 * Bodies of a known length claim all of it at once. Bodies in chunks claim more
 * as they grow; the oldest of them can always grow to its end, since other claims
 * must leave the room for it. So bodies that are partly read can't all wait for
 * each other. Load pattern: many callers that upload at once, more than fit.
 */

import { RetryTimes } from "@dandelionbank/pace-requests";

export interface BodyMemoryOptions {
  /** Room for all bodies together. */
  readonly totalBytes: number;
  /** Part of it that large bodies can't claim. */
  readonly reserveBytes: number;
  /** A larger body is a large one. */
  readonly smallBytes: number;
  /** What still arrives once reading is paused: one read of a socket. */
  readonly readBytes: number;
  /** Longest wait for room. */
  readonly maxWaitMs: number;
  /** Longest time without progress of a large body while others wait for room. */
  readonly maxStallMs: number;
}

export interface OpenOptions {
  /** The body's length, or the largest length allowed if it isn't known. */
  readonly maxBytes: number;
  /** Longest time without progress while no other body waits for room. */
  readonly idleTimeoutMs: number;
  readonly nowMs: number;
}

export type ClaimResult = "granted" | "waiting" | "refused";

/**
 * `full`: no room within the longest wait; `stalled`: the caller has stopped
 * sending; `late`: the request's deadline has passed.
 */
export type BodyRefusalReason = "full" | "stalled" | "late";

/** A body that may be read on until it holds `bytes`. */
export interface BodyGrant {
  readonly id: number;
  readonly bytes: number;
}

export interface BodyRefusal {
  readonly id: number;
  readonly reason: BodyRefusalReason;
}

export interface ExpiryResult {
  readonly granted: readonly BodyGrant[];
  /** Bodies whose room has been released; their requests are to be refused. */
  readonly refused: readonly BodyRefusal[];
}

interface Body {
  readonly id: number;
  readonly maxBytes: number;
  readonly idleTimeoutMs: number;
  heldBytes: number;
  /** Claimed in addition to what it holds; undefined unless it waits. */
  waitsForBytes: number | undefined;
  isComplete: boolean;
  deadlineAtMs: number;
  grantedAtMs: number | undefined;
  /** By the clock of `#awakeMs`. */
  waitingSinceMs: number;
  progressAtMs: number;
}

/** Waiting bodies leave the rest of the reserve to small ones. */
const WAITING_FRACTION_OF_RESERVE = 0.5;
/**
 * A longer time between two checks means that the process has stood still. What
 * its callers sent meanwhile is unread, so it doesn't count as a stall.
 */
const MAX_CHECK_INTERVAL_MS = 200;
/** Weight of the latest body in the mean time for which large bodies hold room. */
const HOLD_TIME_WEIGHT = 0.2;
/** Retry time while no large body has released its room yet. */
const UNKNOWN_RETRY_MS = 1_000;

export class BodyMemory {
  readonly #options: BodyMemoryOptions;
  /** In the order of arrival. */
  readonly #bodies = new Map<number, Body>();
  readonly #waiting = new Set<Body>();
  /** Large bodies that may still grow, the oldest first. */
  readonly #growing = new Set<Body>();
  readonly #retryTimes = RetryTimes.create();
  #heldBytes = 0;
  #largeBytes = 0;
  #waitingBytes = 0;
  /** Time during which the process has run, as far as checks show it. */
  #awakeMs = 0;
  #checkedAtMs: number | undefined;
  #meanHoldMs: number | undefined;

  private constructor(options: BodyMemoryOptions) {
    this.#options = options;
  }

  static create(options: BodyMemoryOptions): BodyMemory {
    return new BodyMemory(options);
  }

  get totalBytes(): number {
    return this.#options.totalBytes;
  }

  /** Room that is held, including what bodies that wait may still receive. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get waitingCount(): number {
    return this.#waiting.size;
  }

  get #largeLimitBytes(): number {
    return this.#options.totalBytes - this.#options.reserveBytes;
  }

  /** Registers a body, which holds nothing yet. */
  open(id: number, { maxBytes, idleTimeoutMs, nowMs }: OpenOptions): void {
    this.#advance(nowMs);
    this.#bodies.set(id, {
      id,
      maxBytes,
      idleTimeoutMs,
      heldBytes: 0,
      waitsForBytes: undefined,
      isComplete: false,
      deadlineAtMs: Number.POSITIVE_INFINITY,
      grantedAtMs: undefined,
      waitingSinceMs: 0,
      progressAtMs: this.#awakeMs,
    });
  }

  /** Sets the time after which the rest of the body is of no use. */
  setDeadline(id: number, deadlineAtMs: number): void {
    const body = this.#bodies.get(id);
    if (body !== undefined) body.deadlineAtMs = deadlineAtMs;
  }

  /**
   * Claims room so that the body holds `bytes` in all. A body that is refused
   * has released its room.
   */
  claim(id: number, bytes: number, nowMs: number): ClaimResult {
    const body = this.#bodies.get(id);
    if (body === undefined) return "refused";
    if (body.waitsForBytes !== undefined) return "waiting";
    this.#advance(nowMs);
    if (bytes <= body.heldBytes) return "granted";
    const mustQueue = this.#isLarge(bytes) && !this.#growing.has(body) &&
      this.#waiting.size > 0;
    if (!mustQueue && this.#fits(body, bytes)) {
      this.#grant(body, bytes, nowMs);
      return "granted";
    }
    if (!this.#mayWait(body, bytes)) {
      this.release(id, nowMs);
      return "refused";
    }
    this.#startWaiting(body, bytes);
    return "waiting";
  }

  recordProgress(id: number): void {
    const body = this.#bodies.get(id);
    if (body !== undefined) body.progressAtMs = this.#awakeMs;
  }

  /** Records that the body has arrived and takes `bytes`. */
  complete(id: number, bytes: number): void {
    const body = this.#bodies.get(id);
    if (body === undefined) return;
    this.#stopWaiting(body);
    this.#setHeld(body, bytes);
    body.isComplete = true;
    this.#growing.delete(body);
  }

  /** Releases the room of a body that is no longer kept. */
  release(id: number, nowMs: number): void {
    const body = this.#bodies.get(id);
    if (body === undefined) return;
    if (body.grantedAtMs !== undefined) {
      this.#recordHoldTime(nowMs - body.grantedAtMs);
    }
    this.#stopWaiting(body);
    this.#setHeld(body, 0);
    this.#growing.delete(body);
    this.#bodies.delete(id);
  }

  /** Grants what has been released; returns the bodies that may be read on. */
  grantWaiting(nowMs: number): readonly BodyGrant[] {
    const granted: BodyGrant[] = [];
    const isGrowing = (body: Body) => this.#growing.has(body);
    const waiting = [...this.#waiting];
    const grant = (body: Body): boolean => {
      const bytes = body.waitsForBytes;
      if (bytes === undefined || !this.#fits(body, bytes)) return false;
      this.#stopWaiting(body);
      this.#grant(body, bytes, nowMs);
      granted.push({ id: body.id, bytes });
      return true;
    };
    // Those that hold room already release it the sooner.
    for (const body of waiting.filter(isGrowing)) grant(body);
    // One after another, so that smaller bodies don't pass a larger one for ever.
    waiting.filter((body) => body.waitsForBytes !== undefined)
      .filter((body) => !isGrowing(body)).every(grant);
    return granted;
  }

  /**
   * Ends waits that have lasted too long, the youngest first, whose room may let
   * older ones go on, and bodies that have stalled or are late. To be called
   * several times a second.
   */
  expire(nowMs: number): ExpiryResult {
    this.#advance(nowMs);
    const granted = [...this.grantWaiting(nowMs)];
    const refused: BodyRefusal[] = [];
    for (const body of [...this.#bodies.values()].reverse()) {
      const reason = this.#findRefusal(body, nowMs);
      if (reason === undefined) continue;
      this.release(body.id, nowMs);
      refused.push({ id: body.id, reason });
      granted.push(...this.grantWaiting(nowMs));
    }
    return { granted, refused };
  }

  /** Returns when a refused caller with a body of this size should return. */
  assignRetryMs(bytes: number, nowMs: number): number {
    const holdMs = this.#meanHoldMs;
    if (holdMs === undefined) {
      return this.#retryTimes.spread(UNKNOWN_RETRY_MS, nowMs);
    }
    const msPerByte = holdMs / this.#largeLimitBytes;
    let aheadBytes = 0;
    for (const { waitsForBytes = 0 } of this.#waiting) {
      aheadBytes += waitsForBytes;
    }
    return this.#retryTimes.next({
      waitMs: aheadBytes * msPerByte,
      stepMs: bytes * msPerByte,
    }, nowMs);
  }

  #isLarge(bytes: number): boolean {
    return bytes > this.#options.smallBytes;
  }

  #fits(body: Body, bytes: number): boolean {
    const { totalBytes, readBytes } = this.#options;
    const isWaiting = body.waitsForBytes !== undefined;
    const ownBytes = body.heldBytes + (isWaiting ? readBytes : 0);
    if (this.#heldBytes - ownBytes + bytes > totalBytes) return false;
    if (!this.#isLarge(bytes)) return true;
    const ownLargeBytes = this.#isLarge(body.heldBytes) ? body.heldBytes : 0;
    const freeBytes = this.#largeLimitBytes - this.#largeBytes +
      ownLargeBytes - bytes;
    return freeBytes >= this.#computeReservedBytes(body, bytes);
  }

  /** Returns what the oldest body that grows may still need. */
  #computeReservedBytes(body: Body, bytes: number): number {
    const [oldest = body] = this.#growing;
    const heldBytes = oldest === body ? bytes : oldest.heldBytes;
    return Math.max(0, this.#limitGrowth(oldest) - heldBytes);
  }

  /** A larger body is refused once it has grown so far. */
  #limitGrowth({ maxBytes }: Body): number {
    return Math.min(maxBytes, this.#largeLimitBytes);
  }

  #mayWait(body: Body, bytes: number): boolean {
    const { totalBytes, reserveBytes, readBytes } = this.#options;
    if (!this.#isLarge(bytes) || bytes > this.#largeLimitBytes) return false;
    const waitingBytes = this.#computeWaitingBytes(body);
    return this.#heldBytes + readBytes <= totalBytes &&
      this.#waitingBytes + waitingBytes <=
        reserveBytes * WAITING_FRACTION_OF_RESERVE;
  }

  /** What a waiting body takes of the reserve. */
  #computeWaitingBytes({ heldBytes }: Body): number {
    const smallBytes = this.#isLarge(heldBytes) ? 0 : heldBytes;
    return smallBytes + this.#options.readBytes;
  }

  #grant(body: Body, bytes: number, nowMs: number): void {
    if (this.#isLarge(bytes)) body.grantedAtMs ??= nowMs;
    this.#setHeld(body, bytes);
    body.progressAtMs = this.#awakeMs;
    const isGrowing = this.#isLarge(bytes) && bytes < body.maxBytes;
    if (isGrowing) this.#growing.add(body);
    else this.#growing.delete(body);
  }

  #setHeld(body: Body, bytes: number): void {
    if (this.#isLarge(body.heldBytes)) this.#largeBytes -= body.heldBytes;
    if (this.#isLarge(bytes)) this.#largeBytes += bytes;
    this.#heldBytes += bytes - body.heldBytes;
    body.heldBytes = bytes;
  }

  #startWaiting(body: Body, bytes: number): void {
    body.waitsForBytes = bytes;
    body.waitingSinceMs = this.#awakeMs;
    this.#waiting.add(body);
    this.#heldBytes += this.#options.readBytes;
    this.#waitingBytes += this.#computeWaitingBytes(body);
  }

  #stopWaiting(body: Body): void {
    if (body.waitsForBytes === undefined) return;
    body.waitsForBytes = undefined;
    this.#waiting.delete(body);
    this.#heldBytes -= this.#options.readBytes;
    this.#waitingBytes -= this.#computeWaitingBytes(body);
  }

  #findRefusal(body: Body, nowMs: number): BodyRefusalReason | undefined {
    if (body.isComplete) return undefined;
    if (nowMs >= body.deadlineAtMs) return "late";
    const { maxWaitMs, maxStallMs } = this.#options;
    if (body.waitsForBytes !== undefined) {
      const waitedMs = this.#awakeMs - body.waitingSinceMs;
      return waitedMs >= maxWaitMs ? "full" : undefined;
    }
    const isInTheWay = this.#waiting.size > 0 && this.#isLarge(body.heldBytes);
    const limitMs = isInTheWay
      ? Math.min(maxStallMs, body.idleTimeoutMs)
      : body.idleTimeoutMs;
    const quietMs = this.#awakeMs - body.progressAtMs;
    return quietMs >= limitMs ? "stalled" : undefined;
  }

  #recordHoldTime(holdMs: number): void {
    const meanMs = this.#meanHoldMs ?? holdMs;
    this.#meanHoldMs = meanMs + HOLD_TIME_WEIGHT * (holdMs - meanMs);
  }

  #advance(nowMs: number): void {
    const elapsedMs = nowMs - (this.#checkedAtMs ?? nowMs);
    this.#checkedAtMs = nowMs;
    this.#awakeMs += Math.min(Math.max(0, elapsedMs), MAX_CHECK_INTERVAL_MS);
  }
}
