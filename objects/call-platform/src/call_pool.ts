/**
 * Sends calls to the platform over connections that are kept. After a call
 * that got no answer in time, later calls use new connections: those kept may
 * all have gone silent.
 */

import {
  HttpPool,
  type HttpRequest,
  type RequestHandle,
} from "@dandelionbank/open-http";
import { AnswerBuffer, type CallAnswer } from "./answer_buffer.ts";

const CONNECTIONS = 8;

export type CallResult =
  | { readonly kind: "answered"; readonly answer: CallAnswer }
  /** No connection was made, so the call can't have taken effect. */
  | { readonly kind: "notSent"; readonly error: Error }
  /** The call may have taken effect. */
  | { readonly kind: "lost"; readonly error: Error };

export interface CallPoolOptions {
  readonly origin: string;
  readonly timeoutMs: number;
}

interface Generation {
  readonly pool: HttpPool;
  running: number;
}

export class CallPool {
  readonly #options: CallPoolOptions;
  #current: Generation;

  static create(options: CallPoolOptions): CallPool {
    return new CallPool(options);
  }

  private constructor(options: CallPoolOptions) {
    this.#options = options;
    this.#current = this.#makeGeneration();
  }

  async call(request: HttpRequest): Promise<CallResult> {
    const generation = this.#current;
    generation.running += 1;
    const result = await this.#send(generation, request);
    generation.running -= 1;
    if (generation !== this.#current && generation.running === 0) {
      await generation.pool.close();
    }
    return result;
  }

  async close(): Promise<void> {
    await this.#current.pool.close();
  }

  #makeGeneration(): Generation {
    const { origin } = this.#options;
    const pool = HttpPool.create({ origin, connections: CONNECTIONS });
    return { pool, running: 0 };
  }

  #retire(generation: Generation): void {
    if (generation === this.#current) this.#current = this.#makeGeneration();
  }

  #send(generation: Generation, request: HttpRequest): Promise<CallResult> {
    const { timeoutMs } = this.#options;
    return new Promise((resolve) => {
      const buffer = new AnswerBuffer();
      const finish = (result: CallResult) => {
        clearTimeout(timer);
        resolve(result);
      };
      const giveUp = (error: Error) => {
        finish({ kind: "lost", error });
        running.cancel();
      };
      const timer = setTimeout(() => {
        this.#retire(generation);
        giveUp(new Error(`No answer in ${timeoutMs} ms`));
      }, timeoutMs);
      const running: RequestHandle = generation.pool.send(request, {
        onHead: (head) => buffer.begin(head),
        onData: (chunk) => {
          if (!buffer.add(chunk)) giveUp(new Error("The answer is too long"));
        },
        onEnd: () => finish({ kind: "answered", answer: buffer.finish() }),
        onError: (error) =>
          finish({ kind: isNotSent(error) ? "notSent" : "lost", error }),
      });
    });
  }
}

/** Only a connection that failed while it was made proves that nothing was sent. */
function isNotSent(error: Error): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
