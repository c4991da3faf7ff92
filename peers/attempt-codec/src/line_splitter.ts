/** Splits a stream of text chunks into lines; chunks may end anywhere. */

/** Limit for an incomplete line, in UTF-16 code units; a longer one is discarded. */
const MAX_LINE_LENGTH = 2 ** 23;

export class LineSplitter {
  #partial = "";

  /** Returns the lines that `text` completes, without their line feeds. */
  push(text: string): readonly string[] {
    const lines = (this.#partial + text).split("\n");
    this.#partial = lines.pop() ?? "";
    if (this.#partial.length > MAX_LINE_LENGTH) this.#partial = "";
    return lines;
  }
}
