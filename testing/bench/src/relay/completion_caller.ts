/** Requests completions over persistent connections and counts streamed events. */

import { Agent, request } from "node:http";

const EVENT_PREFIX = Buffer.from("data: ");

export interface CompletionTimes {
  readonly firstByteMs: number;
  readonly answeredMs: number;
  /** Events of the stream: one for each token and the final one. */
  readonly events: number;
}

export interface CompletionCallerOptions {
  readonly url: string;
  readonly key: string;
  readonly connections: number;
}

export class CompletionCaller {
  readonly #options: CompletionCallerOptions;
  readonly #agent: Agent;
  /** Events received so far, including those of unfinished answers. */
  events = 0;

  private constructor(options: CompletionCallerOptions) {
    this.#options = options;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.connections,
    });
  }

  static create(options: CompletionCallerOptions): CompletionCaller {
    return new CompletionCaller(options);
  }

  /** Rejects unless the stream is complete. */
  call(body: string): Promise<CompletionTimes> {
    const { url, key } = this.#options;
    const startMs = performance.now();
    return new Promise((resolve, reject) => {
      const outgoing = request(new URL("/v1/completions", url), {
        method: "POST",
        agent: this.#agent,
        headers: {
          "authorization": `Bearer ${key}`,
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      });
      outgoing.on("error", reject);
      outgoing.on("response", (response) => {
        let firstByteMs = NaN;
        let events = 0;
        response.on("data", (chunk: Buffer) => {
          if (events === 0) firstByteMs = performance.now() - startMs;
          const newEvents = countEvents(chunk);
          events += newEvents;
          this.events += newEvents;
        });
        response.on("close", () => {
          if (!response.complete || response.statusCode !== 200) {
            reject(
              new Error(`Incomplete answer, status ${response.statusCode}`),
            );
          }
          const answeredMs = performance.now() - startMs;
          resolve({ firstByteMs, answeredMs, events });
        });
      });
      outgoing.end(body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}

/** Creates the body of a streamed completion; the prompt determines the tokens. */
export function createCompletionBody(
  prompt: string,
  maxTokens: number,
): string {
  const model = "reel-2b";
  return JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true });
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  let at = chunk.indexOf(EVENT_PREFIX);
  while (at >= 0) {
    count += 1;
    at = chunk.indexOf(EVENT_PREFIX, at + EVENT_PREFIX.length);
  }
  return count;
}
