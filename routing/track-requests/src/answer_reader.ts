/** Reads one attempt's answer and checks its sequence, length and digest. */

import type {
  AttemptAnswerHead,
  AttemptData,
  AttemptEnd,
} from "@dandelionbank/types";
import type { IncrementalDigest } from "./events.ts";

/** Position of a data frame relative to the expected sequence number. */
export type DataVerdict = "next" | "repeated" | "gap";

/** Result of comparing an end frame with the answer read so far. */
export type EndVerdict = "complete" | "incomplete" | "corrupt";

export class AnswerReader {
  head: AttemptAnswerHead | undefined;
  /** Number of characters of data read. */
  readCharacters = 0;
  #nextSequence = 0;
  readonly #digest: IncrementalDigest;
  #finalDigest: string | undefined;

  constructor(digest: IncrementalDigest) {
    this.#digest = digest;
  }

  get lengthBytes(): number {
    return this.#digest.lengthBytes;
  }

  /** Digest of the answer; finishes it, so read it only after the last data. */
  get digest(): string {
    this.#finalDigest ??= this.#digest.finish();
    return this.#finalDigest;
  }

  readData(frame: AttemptData): DataVerdict {
    if (this.head === undefined) return "gap";
    if (frame.sequence < this.#nextSequence) return "repeated";
    if (frame.sequence > this.#nextSequence) return "gap";
    this.#nextSequence += 1;
    this.readCharacters += frame.data.length;
    this.#digest.add(frame.data, this.head.encoding);
    return "next";
  }

  readEnd(frame: AttemptEnd): EndVerdict {
    if (this.head === undefined) return "incomplete";
    if (this.lengthBytes < frame.lengthBytes) return "incomplete";
    if (this.lengthBytes > frame.lengthBytes) return "corrupt";
    return this.digest === frame.digest ? "complete" : "corrupt";
  }
}
