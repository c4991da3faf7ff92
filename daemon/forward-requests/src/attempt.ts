/**
 * One attempt of a request at one target. It tells apart what the target says:
 * its own answer, proof that the request has not run, or bytes that are not the
 * answer to this request.
 */

import type { HttpPool, RequestHandle } from "@dandelionbank/open-http";
import {
  type AnswerHead,
  decodeAnswerHead,
  type HeaderFields,
} from "@dandelionbank/platform-adapter";
import type { AttemptOutcome } from "@dandelionbank/decide-retries";
import type { TargetLoad } from "@dandelionbank/types";

export interface AttemptRequest {
  readonly attemptId: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

export interface AttemptListener {
  /** The target's own successful answer begins. */
  onSuccess(head: AnswerHead, fields: HeaderFields): void;
  onData(chunk: Buffer): void;
  /** The successful answer is whole. */
  onWhole(): void;
  onEnded(end: AttemptEnd): void;
}

/** An attempt that brought no whole success. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  readonly load: TargetLoad | undefined;
  readonly targetAtFault: string | undefined;
  /** True if another target answered at the address. */
  readonly isMisdirected: boolean;
  /** The target's own failure, whole. */
  readonly failure: TargetFailure | undefined;
}

export interface TargetFailure {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/** Statuses that promise "not run", which a target that ran may not give. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_MISDIRECTED = 421;
/** Failures are short texts. */
const MAX_FAILURE_BYTES = 1_048_576;

export class Attempt {
  readonly #request: AttemptRequest;
  readonly #listener: AttemptListener;
  #running: RequestHandle | undefined;
  #head: AnswerHead | undefined;
  #fields: HeaderFields = {};
  #failureChunks: Buffer[] = [];
  #failureBytes = 0;
  #isSuccess = false;
  #isOver = false;

  private constructor(request: AttemptRequest, listener: AttemptListener) {
    this.#request = request;
    this.#listener = listener;
  }

  /** Sends the request; the listener hears how it went. */
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

  /** Closes the connection, so that the target stops; nothing more is told. */
  cancel(): void {
    this.#isOver = true;
    this.#running?.cancel();
  }

  /** Ends the attempt as told, and closes its connection. */
  giveUp(outcome: AttemptOutcome, reason: string): void {
    if (this.#isOver) return;
    this.#end(outcome, reason);
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
        onHead: ({ status, headers }) => this.#takeHead(status, headers),
        onData: (chunk) => this.#takeData(chunk),
        onEnd: () => this.#takeEnd(),
        onError: (error, wasSent) =>
          this.#end(wasSent ? "broken" : "notSent", describe(error)),
      },
    );
  }

  #takeHead(status: number, fields: HeaderFields): void {
    if (this.#isOver) return;
    const head = decodeAnswerHead(status, fields);
    this.#head = head;
    this.#fields = fields;
    const { attemptId } = this.#request;
    if (head.attemptId !== undefined && head.attemptId !== attemptId) {
      this.giveUp("broken", "answer to another request");
      return;
    }
    if (status >= 300 || head.isNotRun) return;
    if (!head.isSealed) {
      this.giveUp("broken", "success without a seal");
      return;
    }
    if (head.isEncoded) {
      this.giveUp("broken", "encoded body");
      return;
    }
    this.#isSuccess = true;
    this.#listener.onSuccess(head, fields);
  }

  #takeData(chunk: Buffer): void {
    if (this.#isOver) return;
    if (this.#isSuccess) {
      this.#listener.onData(chunk);
      return;
    }
    this.#failureBytes += chunk.length;
    if (this.#failureBytes > MAX_FAILURE_BYTES) {
      this.giveUp("broken", "failure too long");
      return;
    }
    this.#failureChunks.push(chunk);
  }

  #takeEnd(): void {
    if (this.#isOver) return;
    const head = this.#head;
    if (head === undefined) {
      this.#end("broken", "end without an answer");
      return;
    }
    if (this.#isSuccess) {
      this.#isOver = true;
      this.#listener.onWhole();
      return;
    }
    if (head.isNotRun) {
      this.#end("refused", `status ${head.status}`);
      return;
    }
    const isOwn = head.isSealed && !head.isEncoded &&
      !NOT_RUN_STATUSES.has(head.status);
    this.#end(isOwn ? "failed" : "broken", `status ${head.status}`);
  }

  #end(outcome: AttemptOutcome, reason: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const head = this.#head;
    this.#listener.onEnded({
      outcome,
      reason,
      load: head?.load,
      targetAtFault: head?.targetAtFault,
      isMisdirected: head?.status === STATUS_MISDIRECTED,
      failure: outcome === "failed" && head !== undefined
        ? {
          status: head.status,
          fields: this.#fields,
          body: Buffer.concat(this.#failureChunks),
        }
        : undefined,
    });
  }
}

function describe(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${code} ${error.message}`;
}
