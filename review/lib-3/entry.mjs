/** Starts entries with the command of the deploy file, each on an address of its own. */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";

export const BOUNDS = {
  "seed_lag_s": 3,
  "reuse_after_s": 2,
  "contact_ms": 3000,
  "ack_ms": 4000,
  "catch_up_s": 4,
  "drain_ms": 2000,
  "grace_s": 8,
  "loss_slack_ms": 200,
  "config_apply_ms": 2000,
  "revert_slack_ms": 250,
  "outer_ms": 5000,
  "strict_revocation": true,
  "revoke_ms": 5000,
  "retry_budget_ratio": 0.2,
  "budget_window_s": 10,
  "retry_budget_slack": 90,
  "recovery_s": 12,
  "event_lag_ms": 120,
  "retry_after_s": 0,
  "stall_ms": 1500,
  "fencing_enforced": false,
  "ttl_max_s": 5,
};

const READY_TIMEOUT_MS = 15_000;

/** Finds ports that are free on all loopback addresses at this moment. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve, reject) => {
        const server = createServer();
        server.on("error", reject);
        server.listen(0, "0.0.0.0", () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync("deploy/system.toml", "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

export class EntryFleet {
  #store;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #entries = [];
  #onEvent;
  ports;

  static async create(store, { count, onEvent = () => undefined }) {
    const fleet = new EntryFleet();
    fleet.#store = store;
    fleet.#onEvent = onEvent;
    const [frontend, ready, registry, peer] = await findFreePorts(4);
    fleet.ports = { frontend, ready, registry, peer };
    const block = 1 + Math.floor(Math.random() * 200);
    for (let index = 0; index < count; index++) {
      const name = `edge-${index + 1}`;
      const ip = `127.${block}.7.${index + 1}`;
      fleet.#entries.push({
        index,
        name,
        ip,
        child: undefined,
        startedAtMs: 0,
      });
    }
    return fleet;
  }

  get entries() {
    return this.#entries;
  }

  start(index) {
    const entry = this.#entries[index];
    const path = join(this.#folder, `${entry.name}.conf`);
    writeFileSync(path, this.#renderSettings(entry));
    const [program, ...args] = readCommand("entry");
    const child = spawn(program, args, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        DANDELIONBANK_CONFIG: path,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    entry.child = child;
    entry.startedAtMs = performance.now();
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      for (const line of lines) this.#report(entry, line);
    });
    child.on("error", (error) => {
      this.#onEvent(entry, "exit", { error: error.message });
    });
    child.on("exit", (code, signal) => {
      if (entry.child === child) entry.child = undefined;
      this.#onEvent(entry, "exit", { code, signal });
    });
  }

  kill(index, signal) {
    this.#entries[index].child?.kill(signal);
  }

  async waitUntilReady(index) {
    const { ip } = this.#entries[index];
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await fetchStatus(ip, this.ports.ready) === 200) return;
      await delay(50);
    }
    throw new Error(`${ip} is not ready`);
  }

  close() {
    for (const { child } of this.#entries) child?.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #report(entry, line) {
    try {
      const { name, fields } = JSON.parse(line);
      this.#onEvent(entry, name, fields);
    } catch {
      // Not an event of the program's log.
    }
  }

  #renderSettings({ name, ip }) {
    const { frontend, ready, registry, peer } = this.ports;
    const lines = {
      "node_name": name,
      role: "entry",
      "machine_class": "edge",
      serves: "edge,registry",
      ip,
      zone: "z1",
      region: "r1",
      "zones.z1": "r1",
      "listen.frontend": `${ip}:${frontend}`,
      "listen.ready": `${ip}:${ready}`,
      "listen.registry": `${ip}:${registry}`,
      "port_range": `${peer},${peer}`,
      bootstrap: "true",
      "counts_as_loss": "false",
      "limits.cpu_quota": "0.675",
      "limits.cores": "1",
      "limits.memory_mb": "350",
      "limits.max_fds": "4200",
      "limits.link_mbps": "1000.0",
      discovery: "platform",
      entry: "registry",
      "heartbeat_ms": "1200",
      contracts:
        "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
      "platform.address": this.#store.address,
      "platform.form": "objects",
      "platform.writes_per_s": "400",
      "platform.reads_per_s": "2000",
      "platform.history_s": "20",
      "platform.value_bytes": "1048576",
      ...Object.fromEntries(
        Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value]),
      ),
    };
    return Object.entries(lines).map(([key, value]) => `${key}=${value}\n`)
      .join("");
  }
}

function fetchStatus(host, port) {
  return new Promise((resolve) => {
    const request = get(
      { host, port, path: "/-/readyz", agent: false, timeout: 1_000 },
      (response) => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(undefined));
  });
}
