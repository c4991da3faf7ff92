/** A token bucket that holds at most one second's worth. */

export class RateLimiter {
  #tokens = 0;
  #filledAtMs = -Infinity;

  static create(): RateLimiter {
    return new RateLimiter();
  }

  /** Takes a token if there is one; a rate of 0 is no limit. */
  tryAcquire(perSecond: number, nowMs: number): boolean {
    if (perSecond === 0) return true;
    const refill = (nowMs - this.#filledAtMs) * perSecond / 1000;
    this.#tokens = Math.min(perSecond, this.#tokens + refill);
    this.#filledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
