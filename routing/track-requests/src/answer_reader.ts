/** Reads one attempt's answer: frames in sequence, length and digest. */

import type {
  AttemptAnswerHead,
  AttemptData,
  AttemptEnd,
} from "@dandelionbank/types";
import type { IncrementalDigest } from "./events.ts";

/** What to do with a data frame. */
export type DataVerdict = "next" | "repeated" | "gap";

/** What an end frame says of the answer that was read. */
export type EndVerdict = "whole" | "incomplete" | "corrupt";

export class AnswerReader {
  head: AttemptAnswerHead | undefined;
  /** Characters of data read so far. */
  readCharacters = 0;
  #nextSequence = 0;
  readonly #digest: IncrementalDigest;
  #finished: string | undefined;

  constructor(digest: IncrementalDigest) {
    this.#digest = digest;
  }

  get lengthBytes(): number {
    return this.#digest.lengthBytes;
  }

  /** The digest of a whole answer. */
  get digest(): string {
    this.#finished ??= this.#digest.finish();
    return this.#finished;
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
    return this.digest === frame.digest ? "whole" : "corrupt";
  }
}
