/**
 * Stand-in for an engine, of a plain service or of streams, as PROTOCOL.md describes it: it
 * registers in the store, serves `slots` requests at a time and queues a few more,
 * and echoes attempt ids in its answers.
 */

import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;
/** An entry is removed after three heartbeat intervals of silence. */
const LAPSE_MS = 3 * HEARTBEAT_MS;

export class Engine {
  #store;
  #options;
  #server;
  #sockets = new Set();
  #port = 0;
  #born = Date.now();
  #timer;
  #lapseTimer;
  #isUp = false;
  #running = 0;
  #waiting = [];

  constructor(store, options) {
    this.#store = store;
    this.#options = { slots: 6, queue: 12, ...options };
  }

  static async create(store, options) {
    const engine = new Engine(store, options);
    await engine.start();
    return engine;
  }

  get id() {
    return this.#options.id;
  }

  get born() {
    return this.#born;
  }

  get isUp() {
    return this.#isUp;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  async start() {
    this.#dropConnections();
    this.#born = Date.now();
    this.#running = 0;
    this.#waiting = [];
    this.#server = createServer((request, response) =>
      this.#read(request, response)
    );
    this.#server.keepAliveTimeout = 20_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#port = this.#server.address().port;
    this.#isUp = true;
    this.beat();
    this.#timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Renews the engine's entry in the store. */
  beat() {
    clearTimeout(this.#lapseTimer);
    this.#lapseTimer = setTimeout(
      () => this.#store.remove("servers", this.id),
      LAPSE_MS,
    );
    this.#store.put("servers", this.id, {
      service: this.#options.service,
      address: this.address,
      zone: "z1",
      version: "v1",
      slots: this.#options.slots,
      state: "ready",
      cold_left_ms: 0,
      born: this.#born,
      sequence: 0,
    });
  }

  /** Writes no more to the store; its entry is removed by the caller. */
  stopBeating() {
    clearInterval(this.#timer);
    clearTimeout(this.#lapseTimer);
  }

  /**
   * Ends as a process does that crashes: its connections are reset, and new ones
   * refused. If its machine goes dark with it, the connections go silent instead.
   */
  crash({ isDark = false } = {}) {
    if (!this.#isUp) return;
    this.#isUp = false;
    clearInterval(this.#timer);
    this.#server.close();
    if (!isDark) this.#dropConnections();
  }

  #dropConnections() {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  close() {
    this.#isUp = false;
    clearInterval(this.#timer);
    clearTimeout(this.#lapseTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #read(request, response) {
    const server = this.#server;
    const chunks = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (server !== this.#server || !this.#isUp) return;
      this.#admit({
        request,
        response,
        attemptId: request.headers["x-dandelionbank-attempt-id"],
        body: Buffer.concat(chunks),
      });
    });
  }

  #admit(call) {
    const { request } = call;
    this.#options.onArrival?.(this, call);
    const expected = request.headers["x-dandelionbank-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.#answer(call, 421, {
        "x-dandelionbank-instance-id": this.id,
      });
    }
    if (this.#running < this.#options.slots) return this.#run(call);
    if (this.#waiting.length < this.#options.queue) {
      this.#waiting.push(call);
      return;
    }
    this.#answer(call, 503, { "x-dandelionbank-not-executed": "1" });
  }

  #run(call) {
    const { born } = this;
    this.#running += 1;
    if (this.#options.onRun?.(this, call) === "crashed") return;
    const { workMs, events } = this.#options;
    if (events !== undefined) return this.#stream(call, born);
    setTimeout(() => {
      // What a crashed engine ran is gone.
      if (!this.#isUp || born !== this.born) return;
      this.#running -= 1;
      const seal = `${this.id}.${call.attemptId}`;
      this.#answer(
        call,
        200,
        { "x-dandelionbank-response-seal": seal },
        `done by ${this.id}`,
      );
      const next = this.#waiting.shift();
      if (next !== undefined) this.#run(next);
    }, workMs);
  }

  /** Writes events evenly over the work's time. */
  #stream(call, born) {
    const { workMs, events } = this.#options;
    const { request, response, attemptId } = call;
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    let next = first;
    const isGone = () => !this.#isUp || born !== this.born;
    const end = () => {
      clearInterval(timer);
      if (isGone()) return;
      this.#running -= 1;
      const waiting = this.#waiting.shift();
      if (waiting !== undefined) this.#run(waiting);
    };
    const timer = setInterval(() => {
      if (isGone() || response.destroyed) return end();
      const isFirst = next === first;
      const hasCrashed = isFirst &&
        this.#options.onFirstEvent?.(this, call) === "crashed";
      if (hasCrashed) return end();
      if (isFirst) {
        response.writeHead(200, {
          "x-dandelionbank-attempt-id": attemptId,
          "x-dandelionbank-response-seal": `${this.id}.${attemptId}`,
          "content-type": "text/event-stream",
        });
      }
      response.write(`id: ${next}\ndata: tokens ${next}\n\n`);
      next += 1;
      if (next <= events) return;
      response.end();
      end();
    }, workMs / events);
  }

  #answer({ response, attemptId }, status, headers, body = "") {
    if (response.destroyed) return;
    response.writeHead(status, {
      ...(attemptId === undefined
        ? {}
        : { "x-dandelionbank-attempt-id": attemptId }),
      "content-length": Buffer.byteLength(body),
      "x-dandelionbank-server-load":
        `${this.#running},${this.#waiting.length},${this.#options.slots}`,
      ...headers,
    });
    response.end(body);
  }
}
