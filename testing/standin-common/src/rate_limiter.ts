/** Token bucket whose capacity is one second's worth of tokens. */

export class RateLimiter {
  #tokens = 0;
  #refilledAtMs = -Infinity;

  static create(): RateLimiter {
    return new RateLimiter();
  }

  /** Consumes a token if one is available; a rate of 0 means no limit. */
  tryAcquire(perSecond: number, nowMs: number): boolean {
    if (perSecond === 0) return true;
    const refill = (nowMs - this.#refilledAtMs) * perSecond / 1000;
    this.#tokens = Math.min(perSecond, this.#tokens + refill);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
