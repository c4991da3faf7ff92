/** Cuts a stream of text into lines, however the text was split on its way. */

/** Longest line kept while its end is awaited, in UTF-16 units. */
const LINE_LIMIT = 2 ** 23;

export class LineSplitter {
  #rest = "";

  /** The lines that `text` completes, without their line feeds. */
  push(text: string): readonly string[] {
    const lines = (this.#rest + text).split("\n");
    this.#rest = lines.pop() ?? "";
    if (this.#rest.length > LINE_LIMIT) this.#rest = "";
    return lines;
  }
}
