/**
 * Detects the head of another answer within a body. A target that breaks off an
 * answer and then writes another one on the same connection, such as a late second
 * copy, fills up the length of the first one with it.
 */

import { HEADERS } from "@dandelionbank/platform-adapter";

const START = "HTTP/1.";
const FIRST_LETTER = START.charCodeAt(0);
const { attemptId, answerSeal, notRun } = HEADERS;
/** A status line and, some lines later, a field that answers alone have. */
const HEAD = new RegExp(
  `HTTP/1\\.\\d \\d{3}[^\\r\\n]{0,100}\\r?\\n` +
    `(?:[^\\r\\n]{1,200}\\r?\\n){0,16}?(?:${attemptId}|${answerSeal}|${notRun}):`,
  "i",
);
/** Bytes after the start of a status line in which the field is looked for. */
const MAX_PENDING_LENGTH = 1_024;

export class EmbeddedAnswerDetector {
  /** What may be the begin of a head, at the end of the bytes so far. */
  #pending = "";

  private constructor() {}

  static create(): EmbeddedAnswerDetector {
    return new EmbeddedAnswerDetector();
  }

  /** Adds the next bytes of a body. Returns true if a head was found in it. */
  push(chunk: Buffer): boolean {
    const from = this.#pending === "" ? findStart(chunk) : 0;
    if (from < 0) return false;
    const text = this.#pending + chunk.toString("latin1", from);
    if (HEAD.test(text)) return true;
    this.#pending = readPending(text);
    return false;
  }
}

/** Returns the index of the first status line, or of a part of one at the end. */
function findStart(chunk: Buffer): number {
  const at = chunk.indexOf(START);
  if (at >= 0) return at;
  return chunk.indexOf(
    FIRST_LETTER,
    Math.max(0, chunk.length - START.length + 1),
  );
}

function readPending(text: string): string {
  const at = text.indexOf(START, text.length - MAX_PENDING_LENGTH);
  if (at >= 0) return text.slice(at);
  const end = text.slice(-START.length + 1);
  for (let index = 0; index < end.length; index++) {
    if (START.startsWith(end.slice(index))) return end.slice(index);
  }
  return "";
}
