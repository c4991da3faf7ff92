/**
 * Sends calls to the platform over a pool of persistent connections. After a
 * call has timed out, later calls use a new pool, since all connections of the
 * previous one may be unresponsive.
 */

import {
  HttpPool,
  type HttpRequest,
  type RequestHandle,
} from "@dandelionbank/open-http";
import { AnswerBuffer, type CallAnswer } from "./answer_buffer.ts";

const MAX_CONNECTIONS = 8;

export type CallResult =
  | { readonly kind: "answered"; readonly answer: CallAnswer }
  /** No connection was established, so the call had no effect. */
  | { readonly kind: "notSent"; readonly error: Error }
  /** The call may have taken effect. */
  | { readonly kind: "lost"; readonly error: Error };

export interface CallPoolOptions {
  readonly origin: string;
  readonly timeoutMs: number;
}

/** A pool and its number of calls in flight. */
interface PoolGeneration {
  readonly pool: HttpPool;
  inFlight: number;
}

export class CallPool {
  readonly #options: CallPoolOptions;
  #current: PoolGeneration;

  static create(options: CallPoolOptions): CallPool {
    return new CallPool(options);
  }

  private constructor(options: CallPoolOptions) {
    this.#options = options;
    this.#current = this.#createGeneration();
  }

  async call(request: HttpRequest): Promise<CallResult> {
    const generation = this.#current;
    generation.inFlight += 1;
    const result = await this.#send(generation, request);
    generation.inFlight -= 1;
    if (generation !== this.#current && generation.inFlight === 0) {
      await generation.pool.close();
    }
    return result;
  }

  async close(): Promise<void> {
    await this.#current.pool.close();
  }

  #createGeneration(): PoolGeneration {
    const { origin } = this.#options;
    const pool = HttpPool.create({ origin, connections: MAX_CONNECTIONS });
    return { pool, inFlight: 0 };
  }

  #replacePool(generation: PoolGeneration): void {
    if (generation === this.#current) this.#current = this.#createGeneration();
  }

  #send(generation: PoolGeneration, request: HttpRequest): Promise<CallResult> {
    const { timeoutMs } = this.#options;
    return new Promise((resolve) => {
      const buffer = new AnswerBuffer();
      const finish = (result: CallResult) => {
        clearTimeout(timer);
        resolve(result);
      };
      const abort = (error: Error) => {
        finish({ kind: "lost", error });
        handle.cancel();
      };
      const timer = setTimeout(() => {
        this.#replacePool(generation);
        abort(new Error(`No answer within ${timeoutMs} ms`));
      }, timeoutMs);
      const handle: RequestHandle = generation.pool.send(request, {
        onHead: (head) => buffer.begin(head),
        onData: (chunk) => {
          if (!buffer.add(chunk)) abort(new Error("The answer is too large"));
        },
        onEnd: () => finish({ kind: "answered", answer: buffer.finish() }),
        onError: (error) =>
          finish({ kind: isNotSent(error) ? "notSent" : "lost", error }),
      });
    });
  }
}

/** Only a failure to establish the connection proves that nothing was sent. */
function isNotSent(error: Error): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
