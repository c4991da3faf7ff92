/** What a case has seen, with the time since it started. */

import { writeFileSync } from "node:fs";

export class Record {
  #startedMs = performance.now();
  #lines = [];

  /** Milliseconds since the case started. */
  nowMs() {
    return performance.now() - this.#startedMs;
  }

  note(text) {
    this.#lines.push(`${(this.nowMs() / 1_000).toFixed(3)} s  ${text}`);
  }

  /** Writes the record beside the case. */
  write(caseUrl) {
    const file = new URL("record.txt", caseUrl);
    writeFileSync(file, `${this.#lines.join("\n")}\n`);
  }
}
