/** The engine's stand-in: one timer makes the tokens of all completions. */

import {
  type Call,
  ExecutionCounter,
  parseJson,
  type Reply,
  type RunningStandin,
  StandinServer,
} from "@dandelionbank/standin-common";
import { Batch } from "./batch.ts";
import { Completion, parseCompletionRequest } from "./completion.ts";
import { OrderLog } from "./orders.ts";
import { ENGINE_SETTINGS, type EngineSettings } from "./settings.ts";

/** Tokens that one completion may make in a turn when there is no interval. */
const BURST_TOKENS = 16;
const CRASH_EXIT_CODE = 70;

export interface EngineOptions {
  readonly listen?: string;
  readonly settings?: Partial<EngineSettings>;
  /** In place of ending the process when a prompt holds the marker. */
  readonly onCrash?: () => void;
}

/** Starts the stand-in in this process. */
export async function startEngine(
  options: EngineOptions = {},
): Promise<StandinEngine> {
  const engine = new StandinEngine(options);
  await engine.start();
  return engine;
}

export class StandinEngine implements RunningStandin {
  readonly executions = ExecutionCounter.create();
  readonly orders = OrderLog.create();
  readonly #options: EngineOptions;
  readonly #batch = Batch.create();
  #server!: StandinServer<EngineSettings>;
  #isTicking = false;

  constructor(options: EngineOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { listen } = this.#options;
    this.#server = await StandinServer.start({
      ...(listen === undefined ? {} : { listen }),
      settings: { ...ENGINE_SETTINGS, ...this.#options.settings },
      handle: (call, reply) => this.#handle(call, reply),
      handleAdmin: (call, reply) =>
        this.executions.handleAdminCall(call, reply),
    });
  }

  get listening(): string {
    return this.#server.url;
  }

  changeSettings(settings: Partial<EngineSettings>): void {
    this.#server.changeSettings(settings);
  }

  cutConnections(): void {
    this.#server.cutConnections();
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  #handle(call: Call, reply: Reply): void {
    const route = `${call.method} ${call.path}`;
    if (route === "POST /v1/completions") return this.#complete(call, reply);
    if (route === "GET /load") return reply.sendJson(200, this.#batch.load);
    if (route === "POST /orders") {
      const { checksFencing } = this.#server.settings;
      return this.orders.handleOrder(parseJson(call), { reply, checksFencing });
    }
    reply.sendJson(404, { message: "No such path" });
  }

  #complete(call: Call, reply: Reply): void {
    const request = parseCompletionRequest(parseJson(call));
    if (typeof request === "string") {
      return reply.sendJson(400, { message: request });
    }
    this.#batch.add(new Completion(request, reply), () => {
      this.executions.count(call);
      this.#crashOn(request.prompt);
    });
    this.#startTicking();
  }

  #crashOn(prompt: string): void {
    const { crashMarker } = this.#server.settings;
    if (crashMarker === "" || !prompt.includes(crashMarker)) return;
    if (this.#options.onCrash === undefined) process.exit(CRASH_EXIT_CODE);
    this.#options.onCrash();
  }

  #startTicking(): void {
    if (this.#isTicking) return;
    this.#isTicking = true;
    this.#tick();
  }

  #tick(): void {
    const { settings } = this.#server;
    const nowMs = performance.now();
    const isBurst = settings.tokenIntervalMs === 0;
    this.#batch.startQueued(
      settings.concurrency,
      nowMs + settings.firstTokenMs,
    );
    this.#batch.produceTokens({
      faults: settings,
      nowMs,
      tokens: isBurst ? BURST_TOKENS : 1,
    });
    this.#isTicking = !this.#batch.isEmpty;
    if (!this.#isTicking) return;
    if (isBurst) setImmediate(() => this.#tick());
    else setTimeout(() => this.#tick(), settings.tokenIntervalMs);
  }
}
