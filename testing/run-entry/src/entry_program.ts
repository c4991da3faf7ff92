/** An entry as a process of its own, for tests that signal and kill it. */

import type { BootSettings } from "@dandelionbank/platform-adapter";
import { ChildProgram } from "@dandelionbank/run-site";
import type { SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
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
/** A store that is away for some seconds delays a start. */
const START_LIMIT_MS = 20_000;

export interface EntryProgramOptions {
  readonly store: SiteStore;
  /** Processes of one test differ in it, like VMs. */
  readonly number: number;
  readonly graceS?: number;
}

/** Its settings stay the same when it is started again. */
export class EntryProgram {
  readonly settings: BootSettings;
  readonly settingsFile: string;
  #program: ChildProgram | undefined;

  private constructor(settings: BootSettings, settingsFile: string) {
    this.settings = settings;
    this.settingsFile = settingsFile;
  }

  /** Resolves when the entry is ready. */
  static async start(
    t: Pick<TestContext, "after">,
    options: EntryProgramOptions,
  ): Promise<EntryProgram> {
    const lines = await createLines(options);
    const directory = await mkdtemp(join(tmpdir(), "dandelionbank-"));
    const file = join(directory, "boot.conf");
    await writeFile(file, renderBootSettings(lines));
    const entry = new EntryProgram(createBootSettings(lines), file);
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
      environment: { DANDELIONBANK_CONFIG: this.settingsFile },
    });
    this.#program = program;
    await waitFor(async () => {
      const said = program.lines.slice(-3).join("\n");
      assert.ok(program.isRunning, `the process has ended: ${said}`);
      return await this.#readReady() === 200;
    }, { limitMs: START_LIMIT_MS });
  }

  get isRunning(): boolean {
    return this.#program?.isRunning ?? false;
  }

  /** True once a line of the log has the name. */
  hasLogged(name: string): boolean {
    const field = `"name":"${name}"`;
    return this.#program?.lines.some((line) => line.includes(field)) ?? false;
  }

  signal(signal: NodeJS.Signals): void {
    this.#program?.signal(signal);
  }

  /** Resolves when the process has ended. */
  async stop(signal: NodeJS.Signals): Promise<void> {
    await this.#program?.stop(signal);
  }

  async #readReady(): Promise<number | undefined> {
    try {
      return await fetchReadinessStatus(this);
    } catch {
      // Not listening yet.
      return undefined;
    }
  }
}

async function createLines(
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
 * A loopback address of its own, as the port of the metrics is the same on
 * every VM; other test processes run beside this one.
 */
function chooseAddress(number: number): string {
  const { pid } = process;
  return `127.${1 + (pid >> 8) % 200}.${1 + pid % 250}.${1 + number}`;
}
