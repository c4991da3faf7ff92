/** One completion: its request, its tokens and how they are sent. */

import type { Reply } from "@dandelionbank/standin-common";
import { expectedTokens } from "./expected_tokens.ts";

export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

/** Where the faults in force end an answer; -1 is nowhere. */
export interface CompletionFaults {
  readonly stallAfterTokens: number;
  readonly cutAfterTokens: number;
}

/** Reads the body of a completion, or says what is wrong with it. */
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
  #sent = 0;
  #isBlocked = false;
  #isOver = false;

  constructor(request: CompletionRequest, reply: Reply) {
    this.#request = request;
    this.#reply = reply;
    this.#tokens = expectedTokens(request.prompt, request.maxTokens);
    reply.onClose(() => this.#isOver = true);
    reply.onDrain(() => this.#isBlocked = false);
  }

  /** Answered, cut, or the caller has gone. */
  get isFinished(): boolean {
    return this.#isOver;
  }

  /** Tokens that the key-value cache holds for it, one a word of the prompt. */
  get cachedTokens(): number {
    return countWords(this.#request.prompt) + this.#sent;
  }

  startReply(): void {
    if (this.#request.stream) this.#reply.begin("text/event-stream");
  }

  /** Makes the next token, unless the connection is full or a fault stalls it. */
  produceToken(faults: CompletionFaults): void {
    if (this.#isOver || this.#isBlocked) return;
    if (this.#sent === faults.stallAfterTokens) return;
    if (this.#sent === faults.cutAfterTokens) return this.#cut();
    if (this.#sent < this.#tokens.length) this.#sendToken();
    if (this.#sent === this.#tokens.length) this.#finish();
  }

  #sendToken(): void {
    const text = this.#tokens[this.#sent] ?? "";
    this.#sent += 1;
    if (!this.#request.stream) return;
    const isLast = this.#sent === this.#tokens.length;
    const event = JSON.stringify(this.#answer(text, isLast ? "length" : null));
    this.#isBlocked = !this.#reply.write(`data: ${event}\n\n`);
  }

  #finish(): void {
    this.#isOver = true;
    if (!this.#request.stream) {
      const usage = {
        "prompt_tokens": countWords(this.#request.prompt),
        "completion_tokens": this.#tokens.length,
      };
      const answer = this.#answer(this.#tokens.join(""), "length");
      return this.#reply.sendJson(200, { ...answer, usage });
    }
    this.#reply.write("data: [DONE]\n\n");
    this.#reply.end();
  }

  #answer(text: string, finishReason: string | null) {
    return {
      object: "text_completion",
      model: this.#request.model,
      choices: [{ index: 0, text, finish_reason: finishReason }],
    };
  }

  #cut(): void {
    this.#isOver = true;
    this.#reply.cut();
  }
}

function countWords(text: string): number {
  return text.split(/\s+/).length;
}
