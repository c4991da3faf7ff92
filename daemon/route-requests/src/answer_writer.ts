/**
 * Writes answers and outcomes to waiting callers, as the effects of the request
 * tracker (`track-requests`) direct.
 */

import type {
  SendData,
  SendEnd,
  SendHead,
  SendOutcome,
} from "@dandelionbank/track-requests";
import type { CallerTable } from "./caller_table.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import type { RequestTable } from "./request_table.ts";

export interface AnswerWriterOptions {
  readonly callers: CallerTable;
  readonly requests: RequestTable;
  readonly metrics: RequestMetrics;
  readonly readNowMs: () => number;
  /** Called when the caller reads more slowly than the answer arrives. */
  readonly onSlowCaller: (requestId: string) => void;
}

export class AnswerWriter {
  readonly #options: AnswerWriterOptions;

  private constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  static create(options: AnswerWriterOptions): AnswerWriter {
    return new AnswerWriter(options);
  }

  writeHead(head: SendHead): void {
    const caller = this.#options.callers.get(head.callerId);
    if (caller === undefined) return;
    const { status, contentType, encoding, target = "" } = head;
    caller.port.sendHead({ status, contentType, encoding, target });
    const elapsedMs = this.#elapsedMs(caller.requestId);
    if (elapsedMs !== undefined) {
      this.#options.metrics.observeFirstByte(elapsedMs);
    }
  }

  writeData({ callerId, data }: SendData): void {
    const caller = this.#options.callers.get(callerId);
    if (caller === undefined || caller.port.sendData(data)) return;
    this.#options.onSlowCaller(caller.requestId);
  }

  writeEnd(end: SendEnd): void {
    const caller = this.#options.callers.take(end.callerId);
    if (caller === undefined) return;
    const { lengthBytes, digest } = end;
    caller.port.sendEnd({ lengthBytes, digest });
    const elapsedMs = this.#elapsedMs(caller.requestId);
    if (elapsedMs !== undefined) {
      this.#options.metrics.observeAnswered(elapsedMs);
    }
  }

  writeOutcome({ callerId, outcome }: SendOutcome): void {
    this.#options.callers.take(callerId)?.port.sendOutcome(outcome);
  }

  /** Returns `undefined` for a repeat that was merged with an earlier request. */
  #elapsedMs(requestId: string): number | undefined {
    const openRequest = this.#options.requests.get(requestId);
    return openRequest && this.#options.readNowMs() - openRequest.arrivedMs;
  }
}
