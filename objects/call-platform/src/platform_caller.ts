/**
 * Makes single calls to the platform: adds the credential, counts calls, waits
 * and retries when rate-limited, and logs when the platform becomes unreachable
 * and reachable again.
 */

import type { Logger } from "@dandelionbank/log-events";
import { CallCounter, type CallCounts } from "./call_counter.ts";
import { CallPool, type CallResult } from "./call_pool.ts";
import { computeRateLimitDelayMs } from "./retry_delay.ts";

/** Calls made in total for one that the platform's rate limit rejects. */
const MAX_RATE_LIMITED_ATTEMPTS = 4;

export interface PlatformCallerOptions {
  /** Base URL; its path is prepended to the path of each call. */
  readonly platformUrl: string;
  readonly token?: string;
  /** Longest wait for an answer, and longest delay of a rate-limited retry. */
  readonly timeoutMs: number;
  readonly logger: Logger;
  /** Returns 0 up to but excluding 1. */
  readonly random?: () => number;
  readonly wait?: (delayMs: number) => Promise<void>;
}

export interface PlatformCall {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly countedAs: keyof CallCounts;
}

export class PlatformCaller {
  readonly peer: string;
  readonly counter = new CallCounter();
  readonly random: () => number;
  readonly wait: (delayMs: number) => Promise<void>;
  readonly #options: PlatformCallerOptions;
  readonly #pool: CallPool;
  readonly #basePath: string;
  #isReachable = true;

  static create(options: PlatformCallerOptions): PlatformCaller {
    return new PlatformCaller(options);
  }

  private constructor(options: PlatformCallerOptions) {
    this.#options = options;
    const { origin, pathname } = new URL(options.platformUrl);
    this.peer = origin;
    this.#basePath = pathname.replace(/\/+$/, "");
    this.random = options.random ?? Math.random;
    this.wait = options.wait ?? sleep;
    const { timeoutMs } = options;
    this.#pool = CallPool.create({ origin: this.peer, timeoutMs });
  }

  /**
   * Retries calls answered with 429, until the attempts are used up or the delay
   * exceeds the timeout; then the 429 is the result.
   */
  async call(call: PlatformCall): Promise<CallResult> {
    for (let attempt = 1;; attempt++) {
      const result = await this.#callOnce(call);
      if (result.kind !== "answered") return result;
      const { status, headers } = result.answer;
      if (status !== 429) return result;
      this.counter.count("refused");
      const retryAfter = headers["retry-after"]?.toString();
      const delayMs = computeRateLimitDelayMs(retryAfter, this.random);
      const isTooLong = delayMs > this.#options.timeoutMs;
      if (isTooLong || attempt === MAX_RATE_LIMITED_ATTEMPTS) return result;
      await this.wait(delayMs);
    }
  }

  get credential(): Readonly<Record<string, string>> {
    const { token } = this.#options;
    return token === undefined ? {} : { authorization: `Bearer ${token}` };
  }

  /** Prepends the path of the base URL. */
  resolvePath(path: string): string {
    return this.#basePath + path;
  }

  async close(): Promise<void> {
    await this.#pool.close();
  }

  async #callOnce(call: PlatformCall): Promise<CallResult> {
    this.counter.count(call.countedAs);
    const { method, path, body } = call;
    const result = await this.#pool.call({
      method,
      path: this.resolvePath(path),
      headers: { ...this.credential, ...call.headers },
      ...(body === undefined ? {} : { body }),
    });
    if (result.kind === "lost") this.counter.count("lost");
    this.#logReachability(result);
    return result;
  }

  #logReachability(result: CallResult): void {
    const { logger } = this.#options;
    const problem = describeFailure(result);
    if ((problem === undefined) === this.#isReachable) return;
    this.#isReachable = problem === undefined;
    if (problem === undefined) logger.log("platformReachable", {});
    else logger.log("platformUnreachable", { message: problem });
  }
}

function describeFailure(result: CallResult): string | undefined {
  if (result.kind !== "answered") return result.error.message;
  const { status } = result.answer;
  return status < 500 ? undefined : `Status ${status}`;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
