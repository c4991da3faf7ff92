/** Forwards an attempt's frames to one waiting entry. */

import type { AnswerReader } from "@dandelionbank/keep-answers";
import type { AttemptResponder } from "@dandelionbank/serve-peers";

export class AttemptReader implements AnswerReader {
  readonly attemptId: string;
  readonly #responder: AttemptResponder;

  private constructor(attemptId: string, responder: AttemptResponder) {
    this.attemptId = attemptId;
    this.#responder = responder;
  }

  static create(attemptId: string, responder: AttemptResponder): AttemptReader {
    return new AttemptReader(attemptId, responder);
  }

  write(line: string): boolean {
    return this.#responder.write(line);
  }

  end(): void {
    this.#responder.end();
  }
}
