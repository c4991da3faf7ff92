/** Collects what a case has sent, answered and run, and writes it to `record.txt`. */

import { writeFileSync } from "node:fs";
import process from "node:process";

export class Record {
  #lines = [];
  #startedAtMs = performance.now();

  get nowMs() {
    return performance.now() - this.#startedAtMs;
  }

  add(text) {
    const seconds = (this.nowMs / 1_000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} s  ${text}`);
  }

  /** Adds a line that is printed as well. */
  report(text) {
    this.add(text);
    console.log(text);
  }

  write(url) {
    writeFileSync(url, `${this.#lines.join("\n")}\n`);
  }
}

/** Runs a case and ends the process by its result: 1 if the rule was broken. */
export async function runCase(folderUrl, run) {
  const record = new Record();
  const closers = [];
  let code = 2;
  try {
    const isBroken = await run({
      record,
      onClose: (closer) => closers.push(closer),
    });
    code = isBroken ? 1 : 0;
    record.report(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    record.report(`the case could not run: ${error?.stack ?? error}`);
  }
  for (const close of closers.reverse()) await close();
  record.write(new URL("record.txt", folderUrl));
  process.exit(code);
}
