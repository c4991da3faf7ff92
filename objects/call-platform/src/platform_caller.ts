/**
 * Makes single calls to the platform: adds the credential, counts, honours a
 * refusal for rate, and reports in the log when the platform goes and returns.
 */

import type { Logger } from "@dandelionbank/log-events";
import { CallCounter, type CallCounts } from "./call_counter.ts";
import { CallPool, type CallResult } from "./call_pool.ts";
import { delayAfterRefusal } from "./retry_delay.ts";

/** Calls made for one that is refused for rate. */
const RATE_ATTEMPTS = 4;

export interface PlatformCallerOptions {
  /** A path in it stands before the path of each call. */
  readonly platformUrl: string;
  readonly token?: string;
  /** Longest wait for one answer, and after one refusal for rate. */
  readonly timeoutMs: number;
  readonly logger: Logger;
  /** From 0 to below 1. */
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
    this.wait = options.wait ?? waitFor;
    const { timeoutMs } = options;
    this.#pool = CallPool.create({ origin: this.peer, timeoutMs });
  }

  /** The answer; a 429 only once the refusals have gone on too long. */
  async call(call: PlatformCall): Promise<CallResult> {
    for (let attempt = 1;; attempt++) {
      const result = await this.#callOnce(call);
      if (result.kind !== "answered") return result;
      const { status, headers } = result.answer;
      if (status !== 429) return result;
      this.counter.count("refused");
      const retryAfter = headers["retry-after"]?.toString();
      const delayMs = delayAfterRefusal(retryAfter, this.random);
      const isTooLong = delayMs > this.#options.timeoutMs;
      if (isTooLong || attempt === RATE_ATTEMPTS) return result;
      await this.wait(delayMs);
    }
  }

  get credential(): Readonly<Record<string, string>> {
    const { token } = this.#options;
    return token === undefined ? {} : { authorization: `Bearer ${token}` };
  }

  /** The path of a call as the platform expects it. */
  pathOf(path: string): string {
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
      path: this.pathOf(path),
      headers: { ...this.credential, ...call.headers },
      ...(body === undefined ? {} : { body }),
    });
    if (result.kind === "lost") this.counter.count("lost");
    this.#noteReachable(result);
    return result;
  }

  #noteReachable(result: CallResult): void {
    const { logger } = this.#options;
    const problem = problemOf(result);
    if ((problem === undefined) === this.#isReachable) return;
    this.#isReachable = problem === undefined;
    if (problem === undefined) logger.log("platformReachable", {});
    else logger.log("platformUnreachable", { message: problem });
  }
}

function problemOf(result: CallResult): string | undefined {
  if (result.kind !== "answered") return result.error.message;
  const { status } = result.answer;
  return status < 500 ? undefined : `Status ${status}`;
}

function waitFor(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
