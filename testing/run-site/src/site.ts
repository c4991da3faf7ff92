/**
 * A small site on loopback: the platform, one group of ranks, one plain service,
 * optional engines, their agents and some entries. Each is a process.
 */

import { digestKey } from "@dandelionbank/check-credential";
import type { Config, ObjectKind, StoredObject } from "@dandelionbank/types";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { callEntry } from "./call_entry.ts";
import { ChildProgram } from "./child_program.ts";
import { createContract, SITE_POOLS } from "./site_objects.ts";

const DAEMON = "daemon/dandelionbankd/dist/main.js";
const TOOL = "cli/dandelionbank/dist/main.js";
/** The Node.js options that `daemon/dandelionbankd/bin/dandelionbankd.mjs` sets. */
const DAEMON_NODE_ARGS = [
  "--max-semi-space-size=1",
  "--wasm-tiering-budget=1000000000",
  "--single-threaded-gc",
  "--v8-pool-size=1",
  "--optimize-for-size",
];
const LOOPBACK = "127.0.0.1:0";
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 25;

export interface SiteOptions {
  readonly entries: number;
  readonly ranks: number;
  /** Number of engine stand-ins, each with its own agent; 0 by default. */
  readonly engines?: number;
  /** Flags for the stand-ins: the group, the plain service and each engine. */
  readonly groupArgs?: readonly string[];
  readonly plainArgs?: readonly string[];
  readonly engineArgs?: readonly string[];
  /** Additional flags for every agent and every entry. */
  readonly agentArgs?: readonly string[];
  readonly entryArgs?: readonly string[];
  /** Fields of the configuration other than `pools`. */
  readonly config?: Partial<Config>;
}

export interface ToolResult {
  readonly exitCode: number | null;
  readonly lines: readonly string[];
}

export class Site {
  readonly operatorKey = "operator-key-of-the-site";
  readonly callerKey = "caller-key-of-the-site";
  readonly peerSecret = "peer-secret-of-the-site";
  readonly entries = new Map<string, ChildProgram>();
  readonly agents = new Map<string, ChildProgram>();
  readonly entryUrls = new Map<string, string>();
  readonly standins = new Map<string, ChildProgram>();
  readonly #options: SiteOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "dandelionbank-site-"));
  readonly #files: string[] = [];
  platformUrl = "";
  plainUrl = "";
  groupUrls: readonly string[] = [];
  engineUrls: readonly string[] = [];

  private constructor(options: SiteOptions) {
    this.#options = options;
  }

  /** Starts all processes and waits until every entry serves requests and lists all targets. */
  static async start(options: SiteOptions): Promise<Site> {
    const site = new Site(options);
    try {
      await site.#startAll();
    } catch (error) {
      await site.stop();
      throw error;
    }
    return site;
  }

  getEntryUrl(entry: string): string {
    const url = this.entryUrls.get(entry);
    if (url === undefined) throw new Error(`No entry named ${entry}`);
    return url;
  }

  async startEntry(name: string): Promise<void> {
    const entry = this.#startDaemon(name, [
      "--role=entry",
      `--caller-listen=${LOOPBACK}`,
      `--operator-key-digest=${digestKey(this.operatorKey)}`,
      ...(this.#options.entryArgs ?? []),
    ]);
    this.entries.set(name, entry);
    const { fields } = await entry.waitForLine(({ name }) =>
      name === "entryListens"
    );
    const { callerUrl } = fields as { readonly callerUrl: string };
    this.entryUrls.set(name, callerUrl);
  }

  async startAgent(name: string, targetArgs: readonly string[]): Promise<void> {
    const agent = this.#startDaemon(name, [
      "--role=agent",
      ...targetArgs,
      ...(this.#options.agentArgs ?? []),
    ]);
    this.agents.set(name, agent);
    await agent.waitForLine(({ name }) => name === "admissionOpened");
  }

  /** Runs the command-line tool against the named entry. */
  async runTool(
    args: readonly string[],
    entry = "entry-1",
  ): Promise<ToolResult> {
    const tool = ChildProgram.start("dandelionbank", {
      script: TOOL,
      args: [
        ...args,
        `--entry-url=${this.getEntryUrl(entry)}`,
        `--key=${this.operatorKey}`,
      ],
    });
    const exitCode = await tool.exited;
    return { exitCode, lines: tool.lines };
  }

  /** Writes a value as JSON to a file for the command-line tool; returns its path. */
  writeFile(name: string, value: unknown): string {
    const path = join(this.#folder, name);
    writeFileSync(path, JSON.stringify(value));
    this.#files.push(path);
    return path;
  }

  /** Waits until every entry answers an address request with this key. */
  async waitUntilServing(key = this.callerKey): Promise<void> {
    const isServing = async (url: string): Promise<boolean> => {
      const call = { key, path: "/v1/addresses" };
      const reply = await callEntry(url, call).catch(() => undefined);
      return reply?.status === 200;
    };
    const urls = [...this.entryUrls.values()];
    await Promise.all(urls.map((url) => waitUntil(() => isServing(url))));
  }

  /** Sets the faults of the stand-in at `url`. */
  async setFaults(url: string, faults: object): Promise<void> {
    const reply = await callEntry(url, {
      key: "none",
      path: "/faults",
      body: JSON.stringify(faults),
    });
    if (reply.status !== 200) {
      throw new Error(`Setting faults answered ${reply.status}: ${reply.body}`);
    }
  }

  /** Replaces an object's value at the platform directly, bypassing the entries. */
  async overwriteObject(
    { kind, name }: { readonly kind: ObjectKind; readonly name: string },
    value: unknown,
  ): Promise<void> {
    const path = `/v1/objects/${kind}/${name}`;
    const current = await callEntry(this.platformUrl, { key: "none", path });
    const { revision } = JSON.parse(current.body) as StoredObject;
    const written = await callEntry(this.platformUrl, {
      key: "none",
      method: "PUT",
      path,
      headers: { "if-match": String(revision) },
      body: JSON.stringify({ changeId: `rewrite-${revision}`, value }),
    });
    if (written.status !== 200) {
      throw new Error(
        `Overwriting ${kind} ${name} answered ${written.status}: ${written.body}`,
      );
    }
  }

  async stop(): Promise<void> {
    const daemons = [...this.entries.values(), ...this.agents.values()];
    await Promise.all(daemons.map((daemon) => daemon.stop("SIGKILL")));
    const standins = [...this.standins.values()];
    await Promise.all(standins.map((standin) => standin.stop("SIGKILL")));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startAll(): Promise<void> {
    const { entries, ranks, groupArgs = [], plainArgs = [] } = this.#options;
    const [platform, plain, group] = await Promise.all([
      this.#startStandin("platform", []),
      this.#startStandin("plain", plainArgs),
      this.#startStandin("group", [`--ranks=${ranks}`, ...groupArgs]),
    ]);
    this.platformUrl = String(platform);
    this.plainUrl = String(plain);
    this.groupUrls = group as readonly string[];
    this.engineUrls = await this.#startEngines();
    const names = Array.from(
      { length: entries },
      (_, index) => `entry-${index + 1}`,
    );
    await Promise.all([
      ...names.map((name) => this.startEntry(name)),
      ...this.groupUrls.map((_, rank) => this.startRankAgent(rank)),
      this.startPlainAgent("parts-0"),
      ...this.engineUrls.map((_, index) => this.startEngineAgent(index)),
    ]);
    await this.#writeObjects();
    await this.waitUntilServing();
    await this.#waitForTargets();
  }

  startRankAgent(rank: number): Promise<void> {
    return this.startAgent(`review-${rank}`, [
      "--target-kind=rank",
      `--target-url=${this.groupUrls[rank]}`,
      "--pool=review",
      "--group=group-1",
      `--rank=${rank}`,
      `--group-size=${this.groupUrls.length}`,
    ]);
  }

  startPlainAgent(name: string): Promise<void> {
    return this.startAgent(name, [
      "--target-kind=plain",
      `--target-url=${this.plainUrl}`,
      "--pool=parts",
    ]);
  }

  startEngineAgent(index: number): Promise<void> {
    return this.startAgent(`chat-${index}`, [
      "--target-kind=engine",
      `--target-url=${this.engineUrls[index]}`,
      "--pool=chat",
    ]);
  }

  async #startEngines(): Promise<readonly string[]> {
    const { engines = 0, engineArgs = [] } = this.#options;
    const names = Array.from({ length: engines }, (_, i) => `engine-${i}`);
    const starts = names.map((name) =>
      this.#startStandin("engine", engineArgs, { name })
    );
    return (await Promise.all(starts)).map(String);
  }

  async #writeObjects(): Promise<void> {
    const config = {
      ...this.#options.config,
      pools: SITE_POOLS,
    };
    const contract = createContract("malabar", this.callerKey);
    await Promise.all([
      this.#setObject(["config", "set"], "config.json", config),
      this.#setObject(
        ["contract", "set", "malabar"],
        "contract.json",
        contract,
      ),
    ]);
  }

  async #setObject(
    command: readonly string[],
    file: string,
    value: unknown,
  ): Promise<void> {
    const path = this.writeFile(file, value);
    const result = await this.runTool([...command, path]);
    if (result.exitCode !== 0) throw new Error(result.lines.join("\n"));
  }

  /** Waits until every entry lists all targets. */
  async #waitForTargets(): Promise<void> {
    const targetCount = this.agents.size;
    const listsAllTargets = async (entry: string): Promise<boolean> => {
      const { lines } = await this.runTool(["status", "--json"], entry);
      const status = JSON.parse(lines.join("\n")) as {
        readonly targets: readonly unknown[];
      };
      return status.targets.length === targetCount;
    };
    const entries = [...this.entries.keys()];
    await Promise.all(
      entries.map((entry) => waitUntil(() => listsAllTargets(entry))),
    );
  }

  async #startStandin(
    program: string,
    args: readonly string[],
    { name } = { name: program },
  ): Promise<unknown> {
    const standin = ChildProgram.start(name, {
      script: `testing/standin-${program}/dist/main.js`,
      args: [`--listen=${LOOPBACK}`, ...args],
    });
    this.standins.set(name, standin);
    const line = await standin.waitForLine((output) => "listening" in output);
    return line["listening"];
  }

  #startDaemon(name: string, args: readonly string[]): ChildProgram {
    return ChildProgram.start(name, {
      script: DAEMON,
      nodeArgs: DAEMON_NODE_ARGS,
      args: [
        `--name=${name}`,
        "--data-centre=kochi-1",
        `--peer-listen=${LOOPBACK}`,
        `--observe-listen=${LOOPBACK}`,
        `--platform-url=${this.platformUrl}`,
        `--peer-secret=${this.peerSecret}`,
        "--log-format=json",
        ...args,
      ],
    });
  }
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > deadlineMs) {
      throw new Error(`The site was not ready within ${READY_TIMEOUT_MS} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}
