/** An entry as a process of its own, for tests that signal and kill it. */

import type { SiteStore } from "@dandelionbank/standin-site";
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { type BootSettings } from "@dandelionbank/platform-adapter";
import {
  createBootSettings,
  findPort,
  readReady,
  renderBootSettings,
  waitFor,
} from "./fixtures.ts";

/** A store that is away for some seconds delays a start. */
const START_LIMIT_MS = 20_000;

export interface NodeOptions {
  readonly store: SiteStore;
  /** Processes of one test differ in it, like VMs. */
  readonly number: number;
  readonly graceS?: number;
}

/** Its settings stay the same when it is started again. */
export class NodeProcess {
  readonly settings: BootSettings;
  readonly settingsFile: string;
  #child: ChildProcess | undefined;
  #output = "";

  private constructor(settings: BootSettings, settingsFile: string) {
    this.settings = settings;
    this.settingsFile = settingsFile;
  }

  /** Resolves when the entry is ready. */
  static async start(
    t: Pick<TestContext, "after">,
    options: NodeOptions,
  ): Promise<NodeProcess> {
    const lines = await createLines(options);
    const directory = await mkdtemp(join(tmpdir(), "dandelionbank-"));
    const file = join(directory, "boot.conf");
    await writeFile(file, renderBootSettings(lines));
    const node = new NodeProcess(createBootSettings(lines), file);
    t.after(async () => {
      await node.kill("SIGKILL");
      await rm(directory, { recursive: true });
    });
    await node.start();
    return node;
  }

  async start(): Promise<void> {
    const environment = {
      ...process.env,
      DANDELIONBANK_CONFIG: this.settingsFile,
    };
    const child = spawn(process.execPath, [findProgram(), "entry"], {
      env: environment,
      stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.on("data", (chunk) => this.#output += String(chunk));
    this.#child = child;
    await waitFor(async () => {
      assert.equal(child.exitCode, null, "the process has ended");
      return await this.#readReady() === 200;
    }, { limitMs: START_LIMIT_MS });
  }

  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** True once a line of the log has the name. */
  hasLogged(name: string): boolean {
    return this.#output.includes(`"name":"${name}"`);
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Resolves when the process has ended. */
  async kill(signal: NodeJS.Signals): Promise<void> {
    if (!this.isRunning) return;
    const exited = once(this.#child!, "exit");
    this.signal(signal);
    await exited;
  }

  async #readReady(): Promise<number | undefined> {
    try {
      return await readReady(this);
    } catch {
      // Not listening yet.
      return undefined;
    }
  }
}

function findProgram(): string {
  const entry = fileURLToPath(
    import.meta.resolve("@dandelionbank/platform-node"),
  );
  return join(dirname(entry), "main.js");
}

async function createLines(
  { store, number, graceS = 3 }: NodeOptions,
): Promise<Readonly<Record<string, string>>> {
  const [callers, ready, registry, peers] = await Promise.all(
    Array.from({ length: 4 }, findPort),
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
