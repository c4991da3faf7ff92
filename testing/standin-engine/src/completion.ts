/** A completion: its request, its tokens and the reply that carries them. */

import type { Reply } from "@dandelionbank/standin-common";
import { expectedTokens } from "./expected_tokens.ts";

export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

/** Number of tokens after which the current faults act on an answer; -1 disables a fault. */
export interface CompletionFaults {
  readonly stallAfterTokens: number;
  readonly cutAfterTokens: number;
}

/** Parses the body of a completion; returns an error message if it is invalid. */
export function parseCompletionRequest(
  body: unknown,
): CompletionRequest | string {
  if (typeof body !== "object" || body === null) return "Body is not JSON";
  const { model, prompt, max_tokens: maxTokens = 16, stream = false } =
    body as Record<string, unknown>;
  if (typeof model !== "string") return "model is not a string";
  if (typeof prompt !== "string") return "prompt is not a string";
  if (!Number.isInteger(maxTokens)) return "max_tokens is not an integer";
  return {
    model,
    prompt,
    maxTokens: Number(maxTokens),
    stream: stream === true,
  };
}

export class Completion {
  readonly #request: CompletionRequest;
  readonly #reply: Reply;
  readonly #tokens: readonly string[];
  #producedCount = 0;
  #isSendBufferFull = false;
  #isFinished = false;

  constructor(request: CompletionRequest, reply: Reply) {
    this.#request = request;
    this.#reply = reply;
    this.#tokens = expectedTokens(request.prompt, request.maxTokens);
    reply.onClose(() => this.#isFinished = true);
    reply.onDrain(() => this.#isSendBufferFull = false);
  }

  /** True once answered, cut, or abandoned by the caller. */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Tokens in the key-value cache: one per word of the prompt, and those produced. */
  get cachedTokens(): number {
    return countWords(this.#request.prompt) + this.#producedCount;
  }

  startReply(): void {
    if (this.#request.stream) this.#reply.sendHead("text/event-stream");
  }

  /** Produces the next token, unless the send buffer is full or a fault prevents it. */
  produceToken(faults: CompletionFaults): void {
    if (this.#isFinished || this.#isSendBufferFull) return;
    if (this.#producedCount === faults.stallAfterTokens) return;
    if (this.#producedCount === faults.cutAfterTokens) return this.#cut();
    if (this.#producedCount < this.#tokens.length) this.#sendToken();
    if (this.#producedCount === this.#tokens.length) this.#finish();
  }

  #sendToken(): void {
    const text = this.#tokens[this.#producedCount] ?? "";
    this.#producedCount += 1;
    if (!this.#request.stream) return;
    const isLast = this.#producedCount === this.#tokens.length;
    const event = JSON.stringify(
      this.#createAnswer(text, isLast ? "length" : null),
    );
    this.#isSendBufferFull = !this.#reply.write(`data: ${event}\n\n`);
  }

  #finish(): void {
    this.#isFinished = true;
    if (!this.#request.stream) {
      const usage = {
        "prompt_tokens": countWords(this.#request.prompt),
        "completion_tokens": this.#tokens.length,
      };
      const answer = this.#createAnswer(this.#tokens.join(""), "length");
      return this.#reply.sendJson(200, { ...answer, usage });
    }
    this.#reply.write("data: [DONE]\n\n");
    this.#reply.end();
  }

  #createAnswer(text: string, finishReason: string | null) {
    return {
      object: "text_completion",
      model: this.#request.model,
      choices: [{ index: 0, text, finish_reason: finishReason }],
    };
  }

  #cut(): void {
    this.#isFinished = true;
    this.#reply.cut();
  }
}

function countWords(text: string): number {
  return text.split(/\s+/).length;
}
