/**
 * Starts the project's entry as a process of its own, by the command of the deploy
 * file, on a loopback address and with the settings of a small deployment.
 */

import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const START_TIMEOUT_MS = 15_000;
const POLL_MS = 10;

/** Bounds and limits of the site `mhpt`. */
export const BOUNDS = {
  "limits.cpu_quota": "0.675",
  "limits.cores": "1",
  "limits.memory_mb": "350",
  "limits.max_fds": "4200",
  "heartbeat_ms": "1200",
  "bounds.contact_ms": "3000",
  "bounds.drain_ms": "2000",
  "bounds.grace_s": "8",
  "bounds.loss_slack_ms": "200",
  "bounds.config_apply_ms": "2000",
  "bounds.revert_slack_ms": "250",
  "bounds.seed_lag_s": "3",
  "bounds.reuse_after_s": "2",
  "bounds.strict_revocation": "true",
  "bounds.revoke_ms": "5000",
  "bounds.retry_budget_ratio": "0.2",
  "bounds.budget_window_s": "10",
  "bounds.retry_budget_slack": "90",
  "bounds.recovery_s": "12",
  "bounds.stall_ms": "1500",
  "bounds.ttl_max_s": "5",
  "platform.form": "objects",
  "platform.history_s": "20",
  "platform.value_bytes": "1048576",
};

/** Returns the words of a role's command in the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command of the role ${role}`);
  return run.split(" ");
}

/** All entries serve their metrics on one port, so each has an address of its own. */
function chooseHost(number) {
  const { pid } = process;
  return `127.${1 + (pid >> 8) % 200}.${1 + pid % 250}.${1 + number}`;
}

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

export class EntryProcess {
  #child;
  #directory;
  lines = [];

  /** Prepares an entry; `start` starts it, and starts it again after its end. */
  static async create({ number, storeAddress, settings = {} }) {
    const entry = new EntryProcess();
    entry.name = `edge-${number}`;
    entry.host = chooseHost(number);
    const [callers, ready, registry, peers] = await Promise.all(
      Array.from({ length: 4 }, () => findFreePort(entry.host)),
    );
    entry.port = callers;
    entry.readyPort = ready;
    entry.registryPort = registry;
    entry.#directory = await mkdtemp(join(tmpdir(), "review-"));
    const fields = {
      ...BOUNDS,
      "node_name": entry.name,
      "role": "entry",
      "machine_class": "edge",
      "serves": "edge,registry",
      "ip": entry.host,
      "zone": "kochi-a",
      "region": "kochi",
      "listen.frontend": `${entry.host}:${callers}`,
      "listen.ready": `${entry.host}:${ready}`,
      "listen.registry": `${entry.host}:${registry}`,
      "port_range": `${peers},${peers}`,
      "platform.address": storeAddress,
      ...settings,
    };
    const text = Object.entries(fields).map((field) => field.join("="));
    await writeFile(entry.#settingsFile, text.join("\n"));
    return entry;
  }

  get #settingsFile() {
    return join(this.#directory, "boot.conf");
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    const child = this.#child;
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  /** How the process has ended: its exit code or its signal. */
  get end() {
    return this.#child?.signalCode ?? this.#child?.exitCode ?? undefined;
  }

  /** Starts the process without waiting for it. */
  launch() {
    const [program, ...args] = readCommand("entry");
    const { PATH, HOME } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, DANDELIONBANK_CONFIG: this.#settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => this.lines.push(text));
    }
    this.#child = child;
  }

  /** Starts the process and resolves once it is ready. */
  async start() {
    this.launch();
    await this.waitUntilReady();
  }

  async waitUntilReady() {
    const untilMs = performance.now() + START_TIMEOUT_MS;
    while (!await this.#isReady()) {
      if (performance.now() > untilMs) throw new Error("entry is not ready");
      await delay(POLL_MS);
    }
  }

  async #isReady() {
    try {
      const url = `http://${this.host}:${this.readyPort}/-/readyz`;
      const response = await fetch(url);
      await response.body?.cancel();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name);
  }

  /** Sends the signal and resolves when the process has ended. */
  async stop(signal = "SIGKILL") {
    if (!this.isRunning) return;
    const ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill(signal);
    await ended;
  }

  async close() {
    await this.stop();
    await rm(this.#directory, { recursive: true, force: true });
  }
}
