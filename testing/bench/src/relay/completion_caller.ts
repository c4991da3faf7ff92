/** Calls completions over kept connections, and counts what streams back. */

import { Agent, request } from "node:http";

const EVENT = Buffer.from("data: ");

export interface CompletionTimes {
  readonly firstByteMs: number;
  readonly answeredMs: number;
  /** Events of the stream: one a token, and the closing one. */
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
  /** Events that arrived so far, of answers that go on too. */
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

  /** Rejects unless the stream comes whole. */
  call(body: string): Promise<CompletionTimes> {
    const { url, key } = this.#options;
    const startMs = performance.now();
    return new Promise((resolve, reject) => {
      const sent = request(new URL("/v1/completions", url), {
        method: "POST",
        agent: this.#agent,
        headers: {
          "authorization": `Bearer ${key}`,
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      });
      sent.on("error", reject);
      sent.on("response", (response) => {
        let firstByteMs = NaN;
        let events = 0;
        response.on("data", (chunk: Buffer) => {
          if (events === 0) firstByteMs = performance.now() - startMs;
          const found = countEvents(chunk);
          events += found;
          this.events += found;
        });
        response.on("close", () => {
          if (!response.complete || response.statusCode !== 200) {
            reject(new Error(`Status ${response.statusCode}, not whole`));
          }
          const answeredMs = performance.now() - startMs;
          resolve({ firstByteMs, answeredMs, events });
        });
      });
      sent.end(body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}

/** The body of a streamed completion; the prompt makes its tokens. */
export function completionBody(prompt: string, maxTokens: number): string {
  const model = "reel-2b";
  return JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true });
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  let at = chunk.indexOf(EVENT);
  while (at >= 0) {
    count += 1;
    at = chunk.indexOf(EVENT, at + EVENT.length);
  }
  return count;
}
