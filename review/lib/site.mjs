/**
 * Stand-ins for a small deployment on loopback: the platform's store, engines,
 * clients, and the start of the project's programs by the commands of
 * `deploy/system.toml`. They do what `PROTOCOL.md` and `DEPLOY.md` say, and
 * behave like sound servers and clients unless a case says otherwise.
 */

import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { createInterface } from "node:readline";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";

/** True unless `TROUBLE=0`: whether the case's disruption takes place. */
export const HAS_TROUBLE = process.env["TROUBLE"] !== "0";

/** A loopback address of this run's own, so that fixed ports don't collide. */
const NET = `127.${10 + process.pid % 200}.${10 + (process.pid >> 8) % 200}`;
let lastHost = 1;

export function chooseAddress() {
  lastHost += 1;
  return `${NET}.${lastHost}`;
}

export async function findFreePort(host) {
  const server = createTcpServer().listen(0, host);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** Writes what was sent, answered and run, with the time since the start. */
export class Recorder {
  #file;
  #startMs = performance.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, "");
  }

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  write(text) {
    const atS = (this.nowMs / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.#file, `${atS} ${text}\n`);
  }
}

/** The platform's store: lists, watches, conditional writes, one revision. */
export class Store {
  #objects = new Map();
  #history = [];
  #revision = 100;
  #watches = new Set();
  #server;
  #era = 1;
  address = "";
  /** While it is away, it closes connections without an answer. */
  isAway = false;

  static async start() {
    const store = new Store();
    store.#server = createServer((request, response) => {
      store.#handle(request, response).catch(() => response.destroy());
    });
    store.#server.keepAliveTimeout = 60_000;
    const host = chooseAddress();
    store.#server.listen(0, host);
    await once(store.#server, "listening");
    store.address = `${host}:${store.#server.address().port}`;
    return store;
  }

  put(kind, name, spec) {
    return this.#write({ kind, name, spec, deleted: false });
  }

  remove(kind, name) {
    return this.#write({ kind, name, spec: null, deleted: true });
  }

  /** Cuts off the watches of a kind that are waiting; returns how many. */
  cutWatches(kind) {
    const cut = [...this.#watches].filter((watch) => watch.kind === kind);
    for (const watch of cut) {
      this.#watches.delete(watch);
      clearTimeout(watch.timer);
      watch.response.socket?.destroy();
    }
    return cut.length;
  }

  /** A copy of its contents, from which it can come back. */
  copy() {
    return {
      objects: new Map(this.#objects),
      history: [...this.#history],
      revision: this.#revision,
    };
  }

  /** Goes away for a moment: all connections are closed. */
  leave() {
    this.isAway = true;
    for (const watch of this.#watches) clearTimeout(watch.timer);
    this.#watches.clear();
    this.#server.closeAllConnections();
  }

  /** Comes back from an older copy, in the next era. */
  comeBack({ objects, history, revision }) {
    this.#objects = new Map(objects);
    this.#history = [...history];
    this.#revision = revision;
    this.#era += 1;
    this.isAway = false;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #write(fields) {
    this.#revision += 1;
    const object = { ...fields, revision: this.#revision };
    const key = `${fields.kind}/${fields.name}`;
    if (fields.deleted) this.#objects.delete(key);
    else this.#objects.set(key, object);
    this.#history.push(object);
    for (const watch of [...this.#watches]) {
      if (watch.kind === fields.kind) watch.answer();
    }
    return object;
  }

  async #handle(request, response) {
    if (this.isAway) return request.socket.destroy();
    response.setHeader("store-era", String(this.#era));
    let text = "";
    for await (const chunk of request) text += String(chunk);
    const body = text === "" ? {} : JSON.parse(text);
    const url = new URL(request.url, "http://store");
    const [kind, name] = url.pathname.slice("/-/objects/".length).split("/")
      .map(decodeURIComponent);
    const current = this.#objects.get(`${kind}/${name}`);
    if (request.method === "POST") {
      const created = body.metadata?.name;
      if (this.#objects.has(`${kind}/${created}`)) return reply(response, 409);
      return reply(response, 200, render(this.put(kind, created, body.spec)));
    }
    if (request.method === "PUT" || request.method === "DELETE") {
      if (current === undefined) return reply(response, 404);
      const condition = body.metadata?.revision ??
        url.searchParams.get("revision");
      const isStale = condition !== null && condition !== undefined &&
        Number(condition) !== current.revision;
      if (isStale) return reply(response, 409, render(current));
      const written = request.method === "PUT"
        ? this.put(kind, name, body.spec)
        : this.remove(kind, name);
      return reply(response, 200, render(written));
    }
    if (name !== undefined) {
      if (current === undefined) return reply(response, 404);
      return reply(response, 200, render(current));
    }
    const from = url.searchParams.get("watch");
    if (from === null) {
      const after = url.searchParams.get("after") ?? "";
      const entries = [...this.#objects.values()]
        .filter((object) => object.kind === kind && object.name > after)
        .sort((left, right) => left.name < right.name ? -1 : 1)
        .map(render);
      return reply(response, 200, {
        entries,
        "has_more": false,
        at: this.#revision,
      });
    }
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    this.#watch(response, { kind, from: Number(from), waitMs });
  }

  #watch(response, { kind, from, waitMs }) {
    const list = () =>
      this.#history.filter((object) =>
        object.kind === kind && object.revision > from
      );
    // A revision that a restored store doesn't have.
    if (from > this.#revision) return reply(response, 410);
    const watch = { kind, response };
    watch.answer = () => {
      this.#watches.delete(watch);
      clearTimeout(watch.timer);
      const events = list().map((object) => ({
        deleted: object.deleted,
        object: render(object),
      }));
      reply(response, 200, { events, at: this.#revision });
    };
    if (list().length > 0) return watch.answer();
    watch.timer = setTimeout(watch.answer, waitMs);
    this.#watches.add(watch);
    response.on("close", () => {
      this.#watches.delete(watch);
      clearTimeout(watch.timer);
    });
  }
}

function render({ name, revision, spec }) {
  return {
    metadata: {
      name,
      revision,
      created: 1,
      finalizers: [],
      "deletion_pending": false,
    },
    spec,
    status: null,
  };
}

function reply(response, status, value = {}) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * An engine or plain service. `serve(call)` answers a request that it has begun
 * to run; `call` holds the request's head and body and the response.
 */
export class Engine {
  id;
  address = "";
  born = Date.now();
  /** Requests that it has run, in order. */
  runs = [];
  #server;

  static async start(id, { serve, onRun = () => {}, headers = () => ({}) }) {
    const engine = new Engine();
    engine.id = id;
    engine.#server = createServer((request, response) => {
      engine.#handle({ request, response, serve, onRun, headers })
        .catch(() => response.destroy());
    });
    engine.#server.keepAliveTimeout = 10_000;
    engine.#server.requestTimeout = 0;
    const host = chooseAddress();
    engine.#server.listen(0, host);
    await once(engine.#server, "listening");
    engine.address = `${host}:${engine.#server.address().port}`;
    return engine;
  }

  /** What it writes under its id in the store. */
  createEntry({ service, slots = 8, state = "ready" }) {
    return {
      service,
      address: this.address,
      zone: "kochi-a",
      version: "v1",
      slots,
      state,
      "cold_left_ms": 0,
      sequence: 0,
      born: this.born,
    };
  }

  /** Ends the process: all its connections are closed. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle({ request, response, serve, onRun, headers }) {
    const expected = request.headers["x-dandelionbank-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-dandelionbank-instance-id": this.id });
      response.end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const attemptId = request.headers["x-dandelionbank-attempt-id"];
    const run = { attemptId, engine: this.id, atMs: performance.now() };
    this.runs.push(run);
    onRun(run);
    serve({
      request,
      response,
      body: Buffer.concat(chunks),
      run,
      answerHeaders: {
        "x-dandelionbank-attempt-id": attemptId,
        "x-dandelionbank-response-seal": `seal.${attemptId}`,
        ...headers(),
      },
    });
  }
}

const SETTINGS = {
  zone: "kochi-a",
  region: "kochi",
  "machine_class": "edge",
  bootstrap: "true",
  "limits.cpu_quota": "0.675",
  "limits.memory_mb": "350",
  "limits.max_fds": "4200",
  "heartbeat_ms": "1200",
  "bounds.seed_lag_s": "3",
  "bounds.reuse_after_s": "2",
  "bounds.contact_ms": "3000",
  "bounds.ack_ms": "4000",
  "bounds.catch_up_s": "4",
  "bounds.drain_ms": "2000",
  "bounds.grace_s": "8",
  "bounds.loss_slack_ms": "200",
  "bounds.config_apply_ms": "2000",
  "bounds.revert_slack_ms": "250",
  "bounds.outer_ms": "5000",
  "bounds.strict_revocation": "true",
  "bounds.revoke_ms": "5000",
  "bounds.retry_budget_ratio": "0.2",
  "bounds.budget_window_s": "10",
  "bounds.retry_budget_slack": "90",
  "bounds.recovery_s": "12",
  "bounds.event_lag_ms": "120",
  "bounds.retry_after_s": "0",
  "bounds.stall_ms": "1500",
  "bounds.fencing_enforced": "false",
  "bounds.ttl_max_s": "5",
};

/** One process of a role, run by the command of the deploy file. */
export class Program {
  #child;
  #directory;
  name;
  ip;
  settings;
  log = [];

  /** Starts an entry and resolves when it is ready. */
  static async startEntry(number, store) {
    const program = new Program();
    const ip = chooseAddress();
    const [callers, ready, registry, peers] = await Promise.all(
      Array.from({ length: 4 }, () => findFreePort(ip)),
    );
    program.name = `edge-kochi-a-${number}`;
    program.ip = ip;
    program.settings = {
      ...SETTINGS,
      "node_name": program.name,
      role: "entry",
      ip,
      "listen.frontend": `${ip}:${callers}`,
      "listen.ready": `${ip}:${ready}`,
      "listen.registry": `${ip}:${registry}`,
      "port_range": `${peers},${peers}`,
      "platform.address": store.address,
    };
    await program.start("entry");
    const endMs = performance.now() + 15_000;
    while (!await program.isReady()) {
      if (performance.now() > endMs) throw new Error("entry never ready");
      await delay(50);
    }
    return program;
  }

  /** Starts the agent beside the engine at `app` of the machine `ip`. */
  static async startRank(number, { store, ip, app, peerPort, service }) {
    const program = new Program();
    program.name = `side-kochi-a-${number}`;
    program.ip = ip;
    program.settings = {
      ...SETTINGS,
      "node_name": program.name,
      role: "rank",
      "machine_class": "side",
      "limits.cpu_quota": "0.405",
      "limits.memory_mb": "218",
      "limits.max_fds": "1494",
      ip,
      app,
      service,
      "port_range": `${peerPort},${peerPort}`,
      "platform.address": store.address,
    };
    await program.start("rank");
    return program;
  }

  async start(role) {
    this.#directory ??= await mkdtemp(join(tmpdir(), "review-"));
    const file = join(this.#directory, "boot.conf");
    const lines = Object.entries(this.settings).map((pair) => pair.join("="));
    await writeFile(file, `${lines.join("\n")}\n`);
    const [command, ...args] = readRunCommand(role);
    const { PATH = "", HOME = "/", LANG = "C" } = process.env;
    this.#child = spawn(command, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH, HOME, LANG, "DANDELIONBANK_CONFIG": file },
    });
    this.#child.exited = once(this.#child, "exit");
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      createInterface({ input: stream }).on("line", (line) => {
        this.log.push(line);
      });
    }
  }

  /** The events of a name that its processes have logged. */
  listLogged(name) {
    return this.log.filter((line) => line.includes(`"name":"${name}"`))
      .map((line) => JSON.parse(line));
  }

  get address() {
    return this.settings["listen.frontend"];
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Exit code or signal of the process that ended. */
  get end() {
    return this.#child.signalCode ?? this.#child.exitCode;
  }

  signal(name) {
    this.#child.kill(name);
  }

  /** Asks the directory, as a client does. */
  async resolve() {
    const query = `name=${HOST}&region=kochi&zone=kochi-a`;
    const url = `http://${this.settings["listen.registry"]}/-/resolve?${query}`;
    const answer = await fetch(url);
    return answer.status === 200 ? (await answer.json()).addresses : [];
  }

  async isReady() {
    try {
      const url = `http://${this.settings["listen.ready"]}/-/readyz`;
      const answer = await fetch(url);
      await answer.body?.cancel();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Kills the process, which may be started again with the same settings. */
  async kill() {
    if (!this.isRunning) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGKILL");
    await this.#child.exited;
  }

  async close() {
    await this.kill();
    await rm(this.#directory, { recursive: true, force: true });
  }
}

/** The words of a role's `run` in the deploy file. */
export function readRunCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "([^"]*)"/m.exec(section)[1].split(" ");
}

let lastAttempt = 0;

/**
 * Sends one client attempt and resolves with what the client saw: `status`
 * (0 without an answer), whether the answer is complete, and its body.
 */
export function sendRequest(address, options) {
  const { method = "POST", path, body = "", key = KEY, headers = {}, agent } =
    options;
  lastAttempt += 1;
  const attemptId = options.attemptId ??
    `${process.pid.toString(16)}${lastAttempt.toString(16).padStart(8, "0")}`;
  const [host, port] = address.split(":");
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const chunks = [];
    let answer;
    let isSettled = false;
    const settle = (fields) => {
      if (isSettled) return;
      isSettled = true;
      resolve({
        attemptId,
        sentAtMs,
        endedAtMs: performance.now(),
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks),
        ...fields,
      });
    };
    const outgoing = httpRequest({
      host,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST,
        "x-dandelionbank-attempt-id": attemptId,
        "x-dandelionbank-credential": key,
        "content-length": Buffer.byteLength(body),
        ...headers,
      },
    }, (response) => {
      answer = response;
      response.on("data", (chunk) => {
        chunks.push(chunk);
        options.onData?.(chunk);
      });
      response.on("end", () => settle({ isComplete: response.complete }));
      response.on(
        "error",
        (error) =>
          settle({ isComplete: false, error: error.code ?? error.message }),
      );
    });
    outgoing.on(
      "error",
      (error) =>
        settle({ isComplete: false, error: error.code ?? error.message }),
    );
    if (options.writeBody === undefined) outgoing.end(body);
    else options.writeBody(outgoing, body);
  });
}

/** Runs a case, ends its processes, and exits with 0, 1 or 2. */
export async function runCase(folderUrl, play) {
  const folder = fileURLToPath(folderUrl);
  const recorder = new Recorder(join(folder, "record.txt"));
  const closers = [];
  const own = (part) => {
    closers.push(part);
    return part;
  };
  let exitCode = 2;
  try {
    const broken = await play({ recorder, own });
    exitCode = broken.length > 0 ? 1 : 0;
    const verdict = exitCode === 1
      ? `BROKEN, ${broken.length} times; the first: ${broken[0]}`
      : "HELD";
    recorder.write(`${verdict} (TROUBLE=${HAS_TROUBLE ? 1 : 0})`);
    process.stdout.write(`${verdict}\n`);
  } catch (error) {
    recorder.write(`could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  for (const part of closers.reverse()) await part.close();
  process.exit(exitCode);
}
