/** Runs an entry as a child process, for tests that signal or kill it. */

import type { BootSettings } from "@dandelionbank/platform-adapter";
import { ChildProgram } from "@dandelionbank/run-site";
import type { SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { TestContext } from "node:test";
import {
  createBootSettings,
  fetchReadinessStatus,
  findFreePort,
  renderBootSettings,
  waitFor,
} from "./run_entry.ts";

const SCRIPT = "daemon/platform-node/dist/main.js";
const BYTES_PER_KIB = 1_024;
/** Long enough for a start while the store is unavailable for some seconds. */
const START_TIMEOUT_MS = 20_000;

export interface EntryProgramOptions {
  readonly store: Pick<SiteStore, "address">;
  /** Distinguishes the entries of one test, as VMs are distinguished. */
  readonly number: number;
  /** Time from SIGTERM to SIGKILL, within which a stopping entry has to finish. */
  readonly graceS?: number;
  /** Arguments of Node.js, such as those of the deploy file. */
  readonly nodeArgs?: readonly string[];
}

/** An entry process. A restart uses the same settings and ports. */
export class EntryProgram {
  readonly settings: BootSettings;
  readonly settingsFile: string;
  readonly #nodeArgs: readonly string[];
  #program: ChildProgram | undefined;
  readonly #earlierLines: string[] = [];

  private constructor(
    settings: BootSettings,
    { settingsFile, nodeArgs }: {
      readonly settingsFile: string;
      readonly nodeArgs: readonly string[];
    },
  ) {
    this.settings = settings;
    this.settingsFile = settingsFile;
    this.#nodeArgs = nodeArgs;
  }

  /** Starts an entry and resolves when it is ready; it is killed after the test. */
  static async start(
    t: Pick<TestContext, "after">,
    options: EntryProgramOptions,
  ): Promise<EntryProgram> {
    const fields = await createSettingFields(options);
    const directory = await mkdtemp(join(tmpdir(), "dandelionbank-"));
    const file = join(directory, "boot.conf");
    await writeFile(file, renderBootSettings(fields));
    const entry = new EntryProgram(createBootSettings(fields), {
      settingsFile: file,
      nodeArgs: options.nodeArgs ?? [],
    });
    t.after(async () => {
      await entry.stop("SIGKILL");
      await rm(directory, { recursive: true });
    });
    await entry.start();
    return entry;
  }

  async start(): Promise<void> {
    const program = ChildProgram.start(this.settings.name, {
      script: SCRIPT,
      args: ["entry"],
      nodeArgs: this.#nodeArgs,
      environment: { DANDELIONBANK_CONFIG: this.settingsFile },
    });
    this.#earlierLines.push(...this.#program?.lines ?? []);
    this.#program = program;
    await waitFor(async () => {
      const lastLines = program.lines.slice(-3).join("\n");
      assert.ok(program.isRunning, `the process has exited: ${lastLines}`);
      return await this.#fetchReadinessStatus() === 200;
    }, { timeoutMs: START_TIMEOUT_MS });
  }

  get pid(): number {
    return this.#program?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.#program?.isRunning ?? false;
  }

  /** The most memory that the process has had resident so far. */
  readPeakResidentBytes(): number {
    return readPeakResidentBytes(this.pid);
  }

  /** The output of all its processes, in order. */
  get loggedLines(): readonly string[] {
    return [...this.#earlierLines, ...this.#program?.lines ?? []];
  }

  /** Whether the entry has logged an event with this name. */
  hasLogged(name: string): boolean {
    const field = `"name":"${name}"`;
    return this.#program?.lines.some((line) => line.includes(field)) ?? false;
  }

  signal(signal: NodeJS.Signals): void {
    this.#program?.signal(signal);
  }

  /** Sends the signal and resolves when the process has exited. */
  async stop(signal: NodeJS.Signals): Promise<void> {
    await this.#program?.stop(signal);
  }

  async #fetchReadinessStatus(): Promise<number | undefined> {
    try {
      return await fetchReadinessStatus(this);
    } catch {
      // The process does not listen yet.
      return undefined;
    }
  }
}

async function createSettingFields(
  { store, number, graceS = 3 }: EntryProgramOptions,
): Promise<Readonly<Record<string, string>>> {
  const [callers, ready, registry, peers] = await Promise.all(
    Array.from({ length: 4 }, findFreePort),
  );
  const ip = chooseAddress(number);
  return {
    "node_name": `edge-${number}`,
    ip,
    "listen.frontend": `${ip}:${callers}`,
    "listen.ready": `${ip}:${ready}`,
    "listen.registry": `${ip}:${registry}`,
    "port_range": `${peers},${peers}`,
    "bounds.grace_s": String(graceS),
    "platform.address": store.address,
  };
}

/**
 * Chooses a loopback address for each entry, since all entries serve metrics on
 * the same port. It includes the process id, since other test processes run
 * concurrently.
 */
function chooseAddress(number: number): string {
  const { pid } = process;
  return `127.${1 + (pid >> 8) % 200}.${1 + pid % 250}.${1 + number}`;
}

/** Returns the most memory that a process has had resident so far. */
export function readPeakResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
  assert.ok(match, "the process status has no peak of resident memory");
  return Number(match[1]) * BYTES_PER_KIB;
}
