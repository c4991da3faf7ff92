/**
 * HTTP server of a stand-in. `POST /faults` and the stand-in's administrative
 * calls are answered regardless of faults; to all other calls the current
 * faults are applied first.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { RateLimiter } from "./rate_limiter.ts";
import { type Call, Reply } from "./reply.ts";
import { applySettingChanges, type CommonSettings } from "./settings.ts";

/** Time that calls in flight have to finish when the stand-in stops. */
const CLOSE_GRACE_MS = 500;

/** Returns false if the call is not an administrative call. */
export type AdminHandler = (call: Call, reply: Reply) => boolean;
export type CallHandler = (call: Call, reply: Reply) => void | Promise<void>;

export interface StandinOptions<Settings> {
  /** `ADDRESS:PORT`; port 0 picks a free port. */
  readonly listen?: string;
  readonly settings: Settings;
  readonly handle: CallHandler;
  readonly handleAdmin?: AdminHandler;
  readonly onSettings?: (settings: Settings) => void;
}

export class StandinServer<Settings extends CommonSettings> {
  readonly #options: StandinOptions<Settings>;
  readonly #server: Server;
  readonly #rateLimiter = RateLimiter.create();
  readonly #sockets = new Set<Socket>();
  readonly #frozen = new WeakSet<Socket>();
  #settings: Settings;

  static async start<Settings extends CommonSettings>(
    options: StandinOptions<Settings>,
  ): Promise<StandinServer<Settings>> {
    const standin = new StandinServer(options);
    await standin.#listen(options.listen ?? "127.0.0.1:0");
    return standin;
  }

  private constructor(options: StandinOptions<Settings>) {
    this.#options = options;
    this.#settings = options.settings;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch((error) => {
        response.destroy();
        console.error(error);
      });
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  get url(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  get settings(): Settings {
    return this.#settings;
  }

  changeSettings(changes: Partial<Settings>): void {
    this.#settings = applySettingChanges(this.#settings, changes);
    if (this.#settings.freezeConnections) this.#freezeConnections();
    this.#options.onSettings?.(this.#settings);
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const timer = setTimeout(() => this.cutConnections(), CLOSE_GRACE_MS);
    await closed;
    clearTimeout(timer);
  }

  cutConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #listen(listen: string): Promise<void> {
    const [host = "127.0.0.1", port = "0"] = listen.split(":");
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(port), host, resolve);
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse) {
    const call = await readCall(request);
    if (this.#handleAdmin(call, response, request.socket)) return;
    const { settings } = this;
    const reply = new Reply(response, {
      drop: settings.dropAnswer && call.method !== "GET",
      garble: settings.garbleAnswer,
      isSilent: () => this.#settings.silent || this.#frozen.has(request.socket),
    });
    if (settings.outage) return reply.sendJson(503, { message: "Outage" });
    if (
      !this.#rateLimiter.tryAcquire(
        settings.rateLimitPerSecond,
        performance.now(),
      )
    ) {
      return refuseRateLimited(reply);
    }
    if (settings.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, settings.delayMs));
    }
    await this.#options.handle(call, reply);
  }

  #handleAdmin(call: Call, response: ServerResponse, socket: Socket): boolean {
    const reply = new Reply(response, {
      drop: false,
      garble: false,
      isSilent: () => false,
    });
    if (call.method !== "POST" || call.path !== "/faults") {
      return this.#options.handleAdmin?.(call, reply) ?? false;
    }
    try {
      // The connection of this call must not be frozen by the call itself.
      this.#sockets.delete(socket);
      this.changeSettings(parseJson(call) as Partial<Settings>);
      reply.sendJson(200, this.#settings);
    } catch (error) {
      reply.sendJson(400, { message: String(error) });
    } finally {
      this.#sockets.add(socket);
    }
    return true;
  }

  #freezeConnections(): void {
    for (const socket of this.#sockets) this.#frozen.add(socket);
    this.#settings = { ...this.#settings, freezeConnections: false };
  }
}

export function refuseRateLimited(reply: Reply): void {
  reply.sendJson(429, { message: "Beyond the rate" }, {
    "retry-after": "1",
  });
}

/** Parses the body as JSON; returns `undefined` if it is not valid JSON. */
export function parseJson(call: Call): unknown {
  try {
    return JSON.parse(call.body.toString());
  } catch {
    return undefined;
  }
}

async function readCall(request: IncomingMessage): Promise<Call> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const url = new URL(request.url ?? "/", "http://standin");
  return {
    method: request.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(chunks),
  };
}
