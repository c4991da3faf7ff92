/**
 * Stand-in for a model engine: completions, load and orders. One timer produces
 * the tokens of all completions.
 */

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

/** Maximum number of tokens per completion and tick when the token interval is 0. */
const MAX_TOKENS_PER_TICK = 16;
/** Exit code of a process that a marked prompt crashes. */
const CRASH_EXIT_CODE = 70;

export interface EngineOptions {
  readonly listen?: string;
  readonly settings?: Partial<EngineSettings>;
  /** Called instead of `process.exit` when a prompt contains the crash marker. */
  readonly onCrash?: () => void;
}

/** Starts the stand-in in the current process. */
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
    if (route === "POST /v1/completions") {
      return this.#startCompletion(call, reply);
    }
    if (route === "GET /load") return reply.sendJson(200, this.#batch.load);
    if (route === "POST /orders") {
      const { checksFencing } = this.#server.settings;
      return this.orders.handleOrder(parseJson(call), { reply, checksFencing });
    }
    reply.sendJson(404, { message: "No such path" });
  }

  #startCompletion(call: Call, reply: Reply): void {
    const request = parseCompletionRequest(parseJson(call));
    if (typeof request === "string") {
      return reply.sendJson(400, { message: request });
    }
    this.#batch.add(new Completion(request, reply), () => {
      this.executions.count(call);
      this.#crashIfMarked(request.prompt);
    });
    this.#startTicking();
  }

  #crashIfMarked(prompt: string): void {
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
    const isUnpaced = settings.tokenIntervalMs === 0;
    this.#batch.startQueued(
      settings.concurrency,
      nowMs + settings.firstTokenMs,
    );
    this.#batch.produceTokens({
      faults: settings,
      nowMs,
      tokens: isUnpaced ? MAX_TOKENS_PER_TICK : 1,
    });
    this.#isTicking = !this.#batch.isEmpty;
    if (!this.#isTicking) return;
    if (isUnpaced) setImmediate(() => this.#tick());
    else setTimeout(() => this.#tick(), settings.tokenIntervalMs);
  }
}
