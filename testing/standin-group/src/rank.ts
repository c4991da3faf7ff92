/** One rank: its port, its requests, its maps and the steps it holds. */

import {
  type Call,
  ExecutionCounter,
  parseJson,
  type Reply,
  StandinServer,
} from "@dandelionbank/standin-common";
import {
  Batch,
  Completion,
  OrderLog,
  parseCompletionRequest,
} from "@dandelionbank/standin-engine";
import { MapSchedule } from "./map_schedule.ts";
import type { GroupSettings } from "./settings.ts";

export interface RankOptions {
  readonly listen: string;
  readonly settings: GroupSettings;
  /** The group's step that runs now. */
  readonly currentStep: () => number;
  /** Answers what the group as a whole is asked. */
  readonly reportGroup: () => unknown;
}

type Fields = Readonly<Record<string, unknown>>;

export class Rank {
  readonly executions = ExecutionCounter.create();
  readonly #options: RankOptions;
  readonly #batch = Batch.create();
  readonly #maps = MapSchedule.create();
  readonly #orders = OrderLog.create();
  readonly #held = new Set<number>();
  #server!: StandinServer<GroupSettings>;
  #stepTimeMs = 0;

  static async start(options: RankOptions): Promise<Rank> {
    const rank = new Rank(options);
    rank.#server = await StandinServer.start({
      listen: options.listen,
      settings: options.settings,
      handle: (call, reply) => rank.#handle(call, reply),
      handleAdmin: (call, reply) => rank.#handleAdmin(call, reply),
    });
    return rank;
  }

  private constructor(options: RankOptions) {
    this.#options = options;
  }

  get url(): string {
    return this.#server.url;
  }

  changeSettings(settings: Partial<GroupSettings>): void {
    this.#server.changeSettings(settings);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  /** Whether the rank keeps the group from this step. */
  blocksStep(step: number): boolean {
    return this.#held.has(step) || this.#server.settings.stalled;
  }

  /** Takes in what waits, and says which map the rank uses in this step. */
  beginStep(step: number): number {
    const { settings } = this.#server;
    this.#batch.startQueued(settings.concurrency, 0);
    const requests = this.#batch.load.inFlight;
    this.#stepTimeMs = settings.slowFactor *
      (settings.stepTimeMs + requests * settings.requestCostMs);
    return this.#maps.getVersionAt(step);
  }

  get stepTimeMs(): number {
    return this.#stepTimeMs;
  }

  /** One token for each request that runs. */
  endStep(): void {
    this.#batch.produceTokens({
      faults: this.#server.settings,
      nowMs: 0,
      tokens: 1,
    });
  }

  #handleAdmin(call: Call, reply: Reply): boolean {
    if (call.path !== "/violations") {
      return this.executions.handleAdminCall(call, reply);
    }
    reply.sendJson(200, this.#options.reportGroup());
    return true;
  }

  #handle(call: Call, reply: Reply): void {
    const body = (parseJson(call) ?? {}) as Fields;
    switch (`${call.method} ${call.path}`) {
      case "POST /v1/completions":
        return this.#complete(call, reply);
      case "POST /orders":
        return this.#orders.handleOrder(body, {
          reply,
          checksFencing: this.#server.settings.checksFencing,
        });
      case "POST /map/stage":
        return this.#stage(body, reply);
      case "POST /map/switch":
        return this.#switch(body, reply);
      case "POST /hold":
        return this.#hold(body, reply);
      case "POST /release":
        this.#held.delete(Number(body.step));
        return reply.sendJson(200, { step: body.step });
      case "GET /load":
        return reply.sendJson(200, this.#batch.load);
      case "GET /step":
        return this.#reportStep(reply);
      default:
        reply.sendJson(404, { message: "No such path" });
    }
  }

  #complete(call: Call, reply: Reply): void {
    const request = parseCompletionRequest(parseJson(call));
    if (typeof request === "string") {
      return reply.sendJson(400, { message: request });
    }
    this.#batch.add(
      new Completion(request, reply),
      () => this.executions.count(call),
    );
  }

  #reportStep(reply: Reply): void {
    const step = this.#options.currentStep();
    const mapVersion = this.#maps.getVersionAt(step);
    reply.sendJson(200, { step, mapVersion, stepTimeMs: this.#stepTimeMs });
  }

  #stage(body: Fields, reply: Reply): void {
    const { mapVersion } = body;
    if (typeof mapVersion !== "number" || body.map === undefined) {
      return reply.sendJson(400, { message: "No map or no version" });
    }
    setTimeout(() => {
      this.#maps.stage(mapVersion);
      reply.sendJson(200, { mapVersion });
    }, this.#server.settings.stageTimeMs);
  }

  #switch(body: Fields, reply: Reply): void {
    const { mapVersion, fromStep } = body;
    if (typeof mapVersion !== "number" || typeof fromStep !== "number") {
      return reply.sendJson(400, { message: "No version or no step" });
    }
    if (!this.#maps.isStaged(mapVersion)) {
      return reply.sendJson(409, { message: "Map is not staged" });
    }
    if (fromStep <= this.#options.currentStep()) {
      return reply.sendJson(409, { message: "Step is past" });
    }
    this.#maps.scheduleSwitch({ mapVersion, fromStep });
    reply.sendJson(200, { mapVersion, fromStep });
  }

  #hold(body: Fields, reply: Reply): void {
    const { step } = body;
    if (typeof step !== "number") {
      return reply.sendJson(400, { message: "No step" });
    }
    if (step <= this.#options.currentStep()) {
      return reply.sendJson(409, { message: "Step is past" });
    }
    this.#held.add(step);
    reply.sendJson(200, { step });
  }
}
