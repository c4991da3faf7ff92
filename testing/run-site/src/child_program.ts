/** Runs a program of the workspace as a child process and collects its lines. */

import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const LINE_TIMEOUT_MS = 20_000;
const ROOT = new URL("../../../", import.meta.url);

export interface JsonLine {
  readonly [field: string]: unknown;
}

export interface ChildProgramOptions {
  /** Path relative to the workspace's root. */
  readonly script: string;
  readonly args: readonly string[];
  readonly nodeArgs?: readonly string[];
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>;
}

export class ChildProgram {
  readonly name: string;
  readonly lines: string[] = [];
  readonly #child: ChildProcess;
  readonly #listeners = new Set<(line: JsonLine) => void>();
  readonly #exited: Promise<number | null>;

  private constructor(name: string, options: ChildProgramOptions) {
    this.name = name;
    const { script, args, nodeArgs = [], environment = {} } = options;
    const path = fileURLToPath(new URL(script, ROOT));
    this.#child = spawn(process.execPath, [...nodeArgs, path, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.#exited = new Promise((resolve) =>
      this.#child.once("exit", (code) => resolve(code))
    );
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on(
        "line",
        (line) => this.#handleLine(line),
      );
    }
  }

  static start(name: string, options: ChildProgramOptions): ChildProgram {
    return new ChildProgram(name, options);
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /**
   * Resolves with the first JSON line, already printed or still to come, that
   * satisfies `matches`; rejects after `LINE_TIMEOUT_MS`.
   */
  waitForLine(matches: (line: JsonLine) => boolean): Promise<JsonLine> {
    const past = this.lines.map(parseLine).find((line) =>
      line !== undefined && matches(line)
    );
    if (past !== undefined) return Promise.resolve(past);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        const last = this.lines.slice(-5).join("\n");
        reject(
          new Error(
            `${this.name} did not print the expected line within ${LINE_TIMEOUT_MS} ms:\n${last}`,
          ),
        );
      }, LINE_TIMEOUT_MS);
      const listener = (line: JsonLine): void => {
        if (!matches(line)) return;
        clearTimeout(timer);
        this.#listeners.delete(listener);
        resolve(line);
      };
      this.#listeners.add(listener);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Signals the process and waits for its exit. SIGCONT comes first, since a
   * process stopped by SIGSTOP would not handle SIGTERM.
   */
  async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | null> {
    this.#child.kill("SIGCONT");
    this.#child.kill(signal);
    return await this.#exited;
  }

  #handleLine(text: string): void {
    this.lines.push(text);
    const line = parseLine(text);
    if (line === undefined) return;
    for (const listener of [...this.#listeners]) listener(line);
  }
}

function parseLine(text: string): JsonLine | undefined {
  try {
    return JSON.parse(text) as JsonLine;
  } catch {
    return undefined;
  }
}
