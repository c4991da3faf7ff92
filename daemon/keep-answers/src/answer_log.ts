/**
 * Everything that one attempt has answered so far. A reader that joins late
 * gets it from the start, under the attempt id by which it asked.
 */

import { encodeFrame } from "@dandelionbank/exchange-attempts";
import type { AttemptFrame, TargetLoad } from "@dandelionbank/types";
import { createHash } from "node:crypto";
import { StringDecoder } from "node:string_decoder";

type Encoding = "utf8" | "base64";

/** Takes lines for one waiting entry. */
export interface AnswerReader {
  readonly attemptId: string;
  /** False when the reader's buffer is full. */
  write(line: string): boolean;
  end(): void;
}

export class AnswerLog {
  readonly attemptId: string;
  readonly #readers = new Set<AnswerReader>();
  readonly #chunks: string[] = [];
  readonly #hash = createHash("sha256");
  #decoder: StringDecoder | undefined;
  #head: { readonly status: number; readonly contentType: string } | undefined;
  #encoding: Encoding = "utf8";
  #lengthBytes = 0;
  #last: ((attemptId: string) => AttemptFrame) | undefined;
  #lastWriteMs: number;

  private constructor(attemptId: string, nowMs: number) {
    this.attemptId = attemptId;
    this.#lastWriteMs = nowMs;
  }

  static create(attemptId: string, nowMs: number): AnswerLog {
    return new AnswerLog(attemptId, nowMs);
  }

  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  get isEnded(): boolean {
    return this.#last !== undefined;
  }

  get readerCount(): number {
    return this.#readers.size;
  }

  /** Gives the reader everything so far, and what comes as it comes. */
  addReader(reader: AnswerReader): void {
    const { attemptId } = reader;
    reader.write(encodeFrame({
      type: "admitted",
      attemptId,
      answeredBy: this.attemptId,
    }));
    if (this.#head !== undefined) reader.write(this.#headLine(attemptId));
    this.#chunks.forEach((data, sequence) => {
      reader.write(encodeFrame({ type: "data", attemptId, sequence, data }));
    });
    if (this.#last === undefined) {
      this.#readers.add(reader);
      return;
    }
    reader.write(encodeFrame(this.#last(attemptId)));
    reader.end();
  }

  removeReader(reader: AnswerReader): void {
    this.#readers.delete(reader);
  }

  writeHead(status: number, contentType: string): void {
    this.#head = { status, contentType };
    this.#encoding = isText(contentType) ? "utf8" : "base64";
    this.#decoder = new StringDecoder(this.#encoding);
    for (const reader of this.#readers) {
      reader.write(this.#headLine(reader.attemptId));
    }
  }

  /** False when no reader can take more for now. */
  writeData(chunk: Buffer, nowMs: number): boolean {
    this.#hash.update(chunk);
    this.#lengthBytes += chunk.length;
    this.#lastWriteMs = nowMs;
    return this.#pushData(this.#decoder?.write(chunk) ?? "");
  }

  /** The whole answer has been written. */
  end(load: TargetLoad): void {
    this.#pushData(this.#decoder?.end() ?? "");
    const lengthBytes = this.#lengthBytes;
    const digest = this.#hash.digest("hex");
    this.#close((attemptId) => ({
      type: "end",
      attemptId,
      lengthBytes,
      digest,
      load,
    }));
  }

  /** No whole answer will come. */
  fail(
    code: string,
    options: { readonly mayHaveRun: boolean; readonly load: TargetLoad },
  ): void {
    this.#close((attemptId) => ({
      type: "failed",
      attemptId,
      code,
      mayHaveRun: options.mayHaveRun,
      load: options.load,
    }));
  }

  /** Shows every reader that the attempt lives, unless something else just did. */
  sendHeartbeat(nowMs: number, intervalMs: number): void {
    if (this.isEnded || nowMs - this.#lastWriteMs < intervalMs) return;
    this.#lastWriteMs = nowMs;
    for (const reader of this.#readers) {
      reader.write(
        encodeFrame({ type: "heartbeat", attemptId: reader.attemptId }),
      );
    }
  }

  #pushData(data: string): boolean {
    if (data === "") return true;
    const sequence = this.#chunks.push(data) - 1;
    let isRoom = this.#readers.size === 0;
    for (const reader of this.#readers) {
      const { attemptId } = reader;
      const line = encodeFrame({ type: "data", attemptId, sequence, data });
      isRoom = reader.write(line) || isRoom;
    }
    return isRoom;
  }

  #close(last: (attemptId: string) => AttemptFrame): void {
    if (this.isEnded) return;
    this.#last = last;
    for (const reader of this.#readers) {
      reader.write(encodeFrame(last(reader.attemptId)));
      reader.end();
    }
    this.#readers.clear();
  }

  #headLine(attemptId: string): string {
    return encodeFrame({
      type: "head",
      attemptId,
      status: this.#head?.status ?? 200,
      contentType: this.#head?.contentType ?? "",
      encoding: this.#encoding,
    });
  }
}

/** Event streams and JSON are UTF-8 by their standards; nothing else need be. */
function isText(contentType: string): boolean {
  return contentType.startsWith("text/event-stream") ||
    contentType.startsWith("application/json");
}
