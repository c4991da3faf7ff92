/**
 * Log of one attempt's answer. A reader that joins late receives the answer from
 * the start, in frames that carry the id of the reader's own attempt.
 */

import { encodeFrame } from "@dandelionbank/attempt-codec";
import type { AttemptFrame, TargetLoad } from "@dandelionbank/types";
import { createHash } from "node:crypto";
import { StringDecoder } from "node:string_decoder";

type Encoding = "utf8" | "base64";

/** Receives an answer's frames, one per line, for one waiting entry. */
export interface AnswerReader {
  readonly attemptId: string;
  /** Returns false when the reader's buffer is full. */
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
  #createFinalFrame: ((attemptId: string) => AttemptFrame) | undefined;
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
    return this.#createFinalFrame !== undefined;
  }

  get readerCount(): number {
    return this.#readers.size;
  }

  /** Sends the reader the answer so far, and later frames as they are written. */
  addReader(reader: AnswerReader): void {
    const { attemptId } = reader;
    reader.write(encodeFrame({
      type: "admitted",
      attemptId,
      answeredBy: this.attemptId,
    }));
    if (this.#head !== undefined) reader.write(this.#encodeHead(attemptId));
    this.#chunks.forEach((data, sequence) => {
      reader.write(encodeFrame({ type: "data", attemptId, sequence, data }));
    });
    if (this.#createFinalFrame === undefined) {
      this.#readers.add(reader);
      return;
    }
    reader.write(encodeFrame(this.#createFinalFrame(attemptId)));
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
      reader.write(this.#encodeHead(reader.attemptId));
    }
  }

  /** Returns false when the buffers of all readers are full. */
  writeData(chunk: Buffer, nowMs: number): boolean {
    this.#hash.update(chunk);
    this.#lengthBytes += chunk.length;
    this.#lastWriteMs = nowMs;
    return this.#appendData(this.#decoder?.write(chunk) ?? "");
  }

  /** Marks the answer as complete. */
  end(load: TargetLoad): void {
    this.#appendData(this.#decoder?.end() ?? "");
    const lengthBytes = this.#lengthBytes;
    const digest = this.#hash.digest("hex");
    this.#finish((attemptId) => ({
      type: "end",
      attemptId,
      lengthBytes,
      digest,
      load,
    }));
  }

  /** Ends the log without a complete answer. */
  fail(
    code: string,
    options: { readonly mayHaveRun: boolean; readonly load: TargetLoad },
  ): void {
    this.#finish((attemptId) => ({
      type: "failed",
      attemptId,
      code,
      mayHaveRun: options.mayHaveRun,
      load: options.load,
    }));
  }

  /** Sends a heartbeat unless data or a heartbeat was sent within `intervalMs`. */
  sendHeartbeat(nowMs: number, intervalMs: number): void {
    if (this.isEnded || nowMs - this.#lastWriteMs < intervalMs) return;
    this.#lastWriteMs = nowMs;
    for (const reader of this.#readers) {
      reader.write(
        encodeFrame({ type: "heartbeat", attemptId: reader.attemptId }),
      );
    }
  }

  #appendData(data: string): boolean {
    if (data === "") return true;
    const sequence = this.#chunks.push(data) - 1;
    let hasCapacity = this.#readers.size === 0;
    for (const reader of this.#readers) {
      const { attemptId } = reader;
      const line = encodeFrame({ type: "data", attemptId, sequence, data });
      hasCapacity = reader.write(line) || hasCapacity;
    }
    return hasCapacity;
  }

  #finish(createFrame: (attemptId: string) => AttemptFrame): void {
    if (this.isEnded) return;
    this.#createFinalFrame = createFrame;
    for (const reader of this.#readers) {
      reader.write(encodeFrame(createFrame(reader.attemptId)));
      reader.end();
    }
    this.#readers.clear();
  }

  #encodeHead(attemptId: string): string {
    return encodeFrame({
      type: "head",
      attemptId,
      status: this.#head?.status ?? 200,
      contentType: this.#head?.contentType ?? "",
      encoding: this.#encoding,
    });
  }
}

/** Event streams and JSON are UTF-8 by specification; other types may be binary. */
function isText(contentType: string): boolean {
  return contentType.startsWith("text/event-stream") ||
    contentType.startsWith("application/json");
}
