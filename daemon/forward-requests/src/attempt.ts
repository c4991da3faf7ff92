/**
 * One attempt of a request at one target. Classifies the response as the
 * target's own answer, as proof that the request has not run, or as broken:
 * bytes that cannot be trusted to answer this request. The target's own answers
 * to requests that it ran carry a seal header.
 */

import {
  type ByteBudget,
  type ByteClaim,
  ByteCollector,
} from "@dandelionbank/collect-bytes";
import type { HttpPool, RequestHandle } from "@dandelionbank/open-http";
import {
  type AnswerHead,
  decodeAnswerHead,
  type HeaderFields,
} from "@dandelionbank/platform-adapter";
import type { AttemptOutcome } from "@dandelionbank/decide-retries";
import type { TargetLoad } from "@dandelionbank/types";
import { EmbeddedAnswerDetector } from "./embedded_answer.ts";

export interface AttemptRequest {
  readonly attemptId: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Memory shared by all answers. */
  readonly memory: ByteBudget;
}

export interface AttemptListener {
  /** Called with the headers of any answer that the target itself gave. */
  onHead(head: AnswerHead): void;
  /** Called with the headers of the target's own successful answer. */
  onSuccess(head: AnswerHead, fields: HeaderFields): void;
  onData(chunk: Buffer): void;
  /**
   * Called when the message of a successful answer has ended. Returns why the
   * answer is incomplete nevertheless; `undefined` if it is complete.
   */
  findDefect(): string | undefined;
  /** Called when the successful answer is complete. */
  onComplete(): void;
  onFailed(failure: AttemptFailure): void;
}

/** The result of an attempt that yielded no complete successful answer. */
export interface AttemptFailure {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  /** Code of the connection's error, if it failed. */
  readonly errorCode: string | undefined;
  readonly load: TargetLoad | undefined;
  /** The target that caused the failure, if it is another one. */
  readonly targetAtFault: string | undefined;
  /** True if a different target answered at the address (status 421). */
  readonly isMisdirected: boolean;
  /** The complete error response, if it is the target's own. */
  readonly failureResponse: FailureResponse | undefined;
}

export interface FailureResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/**
 * Statuses that mean "not run", and so cannot be a target's own answer to a
 * request that it ran.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_MISDIRECTED = 421;
/** Error responses are short texts; a longer one is treated as broken. */
const MAX_ERROR_BYTES = 1_048_576;
/** Pieces of an error response beyond which it is no answer. */
const MAX_ERROR_PIECES = 4_096;

export class Attempt {
  readonly #request: AttemptRequest;
  readonly #listener: AttemptListener;
  #running: RequestHandle | undefined;
  /** Set once it names this attempt. */
  #head: AnswerHead | undefined;
  #fields: HeaderFields = {};
  readonly #embeddedAnswers = EmbeddedAnswerDetector.create();
  readonly #errorBody = ByteCollector.create();
  #errorPieces = 0;
  readonly #errorClaim: ByteClaim;
  #isSuccess = false;
  #hasEnded = false;

  private constructor(request: AttemptRequest, listener: AttemptListener) {
    this.#request = request;
    this.#listener = listener;
    this.#errorClaim = request.memory.createClaim();
  }

  /** Sends the request and reports its progress and result to the listener. */
  static send(
    pool: HttpPool,
    { request, listener }: {
      readonly request: AttemptRequest;
      readonly listener: AttemptListener;
    },
  ): Attempt {
    const attempt = new Attempt(request, listener);
    attempt.#start(pool);
    return attempt;
  }

  /**
   * Closes the connection so that the target stops, without calling the
   * listener again.
   */
  cancel(): void {
    this.#hasEnded = true;
    this.#errorClaim.release();
    this.#running?.cancel();
  }

  /** Fails the attempt with the given outcome and closes its connection. */
  abort(outcome: AttemptOutcome, reason: string): void {
    if (this.#hasEnded) return;
    this.#fail(outcome, reason);
    this.#running?.cancel();
  }

  pause(): void {
    this.#running?.pause();
  }

  resume(): void {
    this.#running?.resume();
  }

  #start(pool: HttpPool): void {
    const { method, path, headers, body } = this.#request;
    this.#running = pool.send(
      { method, path, headers, ...(body.length > 0 ? { body } : {}) },
      {
        onHead: ({ status, headers }) => this.#handleHead(status, headers),
        onData: (chunk) => this.#handleData(chunk),
        onEnd: () => this.#handleEnd(),
        onError: (error, wasSent) =>
          this.#fail(
            wasSent ? "broken" : "notSent",
            describe(error),
            (error as NodeJS.ErrnoException).code,
          ),
      },
    );
  }

  #handleHead(status: number, fields: HeaderFields): void {
    if (this.#hasEnded) return;
    const head = decodeAnswerHead(status, fields);
    const { attemptId } = this.#request;
    if (head.attemptId !== attemptId) {
      this.abort(
        "broken",
        head.attemptId === undefined
          ? "answer without an attempt id"
          : "answer belongs to another attempt id",
      );
      return;
    }
    this.#head = head;
    this.#fields = fields;
    if (status !== STATUS_MISDIRECTED) this.#listener.onHead(head);
    if (status >= 300 || head.isNotRun) return;
    if (!head.isSealed) {
      this.abort("broken", "successful answer without a seal");
      return;
    }
    if (head.isEncoded) {
      this.abort("broken", "answer has a content-encoding");
      return;
    }
    this.#isSuccess = true;
    this.#listener.onSuccess(head, fields);
  }

  #handleData(chunk: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#embeddedAnswers.push(chunk)) {
      this.abort("broken", "body holds the head of another answer");
      return;
    }
    if (this.#isSuccess) {
      this.#listener.onData(chunk);
      return;
    }
    this.#errorBody.add(chunk);
    this.#errorPieces += 1;
    const { lengthBytes, capacityBytes } = this.#errorBody;
    const isKept = lengthBytes <= MAX_ERROR_BYTES &&
      this.#errorPieces <= MAX_ERROR_PIECES &&
      this.#errorClaim.resize(capacityBytes);
    if (!isKept) {
      this.abort(
        "broken",
        `error response of ${lengthBytes} bytes in ${this.#errorPieces} pieces can't be kept`,
      );
    }
  }

  #handleEnd(): void {
    if (this.#hasEnded) return;
    const head = this.#head;
    if (head === undefined) {
      this.#fail("broken", "connection ended before the answer began");
      return;
    }
    if (this.#isSuccess) {
      const defect = this.#listener.findDefect();
      if (defect !== undefined) return this.#fail("broken", defect);
      this.#hasEnded = true;
      this.#listener.onComplete();
      return;
    }
    if (head.isNotRun) {
      this.#fail("refused", `status ${head.status}`);
      return;
    }
    const isOwnAnswer = head.isSealed && !head.isEncoded &&
      !NOT_RUN_STATUSES.has(head.status);
    this.#fail(isOwnAnswer ? "failed" : "broken", `status ${head.status}`);
  }

  #fail(outcome: AttemptOutcome, reason: string, errorCode?: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#errorClaim.release();
    const head = this.#head;
    this.#listener.onFailed({
      outcome,
      reason,
      errorCode,
      load: head?.load,
      targetAtFault: head?.targetAtFault,
      isMisdirected: head?.status === STATUS_MISDIRECTED,
      failureResponse: outcome === "failed" && head !== undefined
        ? {
          status: head.status,
          fields: this.#fields,
          body: this.#errorBody.take(),
        }
        : undefined,
    });
  }
}

function describe(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${code} ${error.message}`;
}
