/** A rank of the group: its server, its completions, its expert maps and held steps. */

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
  /** Returns the group's current step. */
  readonly getCurrentStep: () => number;
  /** Returns the report on the whole group, for `/violations`. */
  readonly reportGroup: () => unknown;
}

type OrderFields = Readonly<Record<string, unknown>>;

export class Rank {
  readonly executions = ExecutionCounter.create();
  readonly #options: RankOptions;
  readonly #batch = Batch.create();
  readonly #mapSchedule = MapSchedule.create();
  readonly #orders = OrderLog.create();
  readonly #heldSteps = new Set<number>();
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

  /** Whether the rank prevents the group from beginning this step. */
  blocksStep(step: number): boolean {
    return this.#heldSteps.has(step) || this.#server.settings.stalled;
  }

  /** Starts queued completions; returns the map version that the rank uses in this step. */
  beginStep(step: number): number {
    const { settings } = this.#server;
    this.#batch.startQueued(settings.concurrency, 0);
    const runningCount = this.#batch.load.inFlight;
    this.#stepTimeMs = settings.slowFactor *
      (settings.stepTimeMs + runningCount * settings.requestCostMs);
    return this.#mapSchedule.getVersionAt(step);
  }

  get stepTimeMs(): number {
    return this.#stepTimeMs;
  }

  /** Produces one token for each running completion. */
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
    const body = (parseJson(call) ?? {}) as OrderFields;
    switch (`${call.method} ${call.path}`) {
      case "POST /v1/completions":
        return this.#startCompletion(call, reply);
      case "POST /orders":
        return this.#orders.handleOrder(body, {
          reply,
          checksFencing: this.#server.settings.checksFencing,
        });
      case "POST /map/stage":
        return this.#stageMap(body, reply);
      case "POST /map/switch":
        return this.#switchMap(body, reply);
      case "POST /hold":
        return this.#holdStep(body, reply);
      case "POST /release":
        this.#heldSteps.delete(Number(body.step));
        return reply.sendJson(200, { step: body.step });
      case "GET /load":
        return reply.sendJson(200, this.#batch.load);
      case "GET /step":
        return this.#sendStep(reply);
      default:
        reply.sendJson(404, { message: "No such path" });
    }
  }

  #startCompletion(call: Call, reply: Reply): void {
    const request = parseCompletionRequest(parseJson(call));
    if (typeof request === "string") {
      return reply.sendJson(400, { message: request });
    }
    this.#batch.add(
      new Completion(request, reply),
      () => this.executions.count(call),
    );
  }

  #sendStep(reply: Reply): void {
    const step = this.#options.getCurrentStep();
    const mapVersion = this.#mapSchedule.getVersionAt(step);
    reply.sendJson(200, { step, mapVersion, stepTimeMs: this.#stepTimeMs });
  }

  #stageMap(body: OrderFields, reply: Reply): void {
    const { mapVersion } = body;
    if (typeof mapVersion !== "number" || body.map === undefined) {
      return reply.sendJson(400, { message: "No map or no version" });
    }
    setTimeout(() => {
      this.#mapSchedule.stage(mapVersion);
      reply.sendJson(200, { mapVersion });
    }, this.#server.settings.stageTimeMs);
  }

  #switchMap(body: OrderFields, reply: Reply): void {
    const { mapVersion, fromStep } = body;
    if (typeof mapVersion !== "number" || typeof fromStep !== "number") {
      return reply.sendJson(400, { message: "No version or no step" });
    }
    if (!this.#mapSchedule.isStaged(mapVersion)) {
      return reply.sendJson(409, { message: "Map is not staged" });
    }
    if (fromStep <= this.#options.getCurrentStep()) {
      return reply.sendJson(409, { message: "Step is past" });
    }
    this.#mapSchedule.scheduleSwitch({ mapVersion, fromStep });
    reply.sendJson(200, { mapVersion, fromStep });
  }

  #holdStep(body: OrderFields, reply: Reply): void {
    const { step } = body;
    if (typeof step !== "number") {
      return reply.sendJson(400, { message: "No step" });
    }
    if (step <= this.#options.getCurrentStep()) {
      return reply.sendJson(409, { message: "Step is past" });
    }
    this.#heldSteps.add(step);
    reply.sendJson(200, { step });
  }
}
