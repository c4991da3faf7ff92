/**
 * Engines in lock-step that crash when they begin to write certain answers. A
 * crash stalls the group: its other engines then break off their streams, and
 * refuse requests until the crashed engine has been replaced.
 */

import { setTimeout as delay } from "node:timers/promises";
import { type EngineCall, refuseAsNotRun, SiteEngine } from "./site_engine.ts";
import type { SiteStore } from "./site_store.ts";

export interface CrashingEnginesOptions {
  readonly store: SiteStore;
  readonly count: number;
  readonly service: string;
  /** Whether the engine crashes when it begins to write the answer. */
  readonly isCrashing: (call: EngineCall) => boolean;
  /** Whether an engine starts again under its id; by default it gets another. */
  readonly keepsIds?: boolean;
}

/** A request that has reached an engine. */
export interface Arrival {
  readonly atMs: number;
  readonly call: EngineCall;
}

/** Time from the arrival of a request to the first event of its answer. */
const READ_MS = 30;
const EVENT_INTERVAL_MS = 20;
const EVENT_COUNT = 16;
/** Time from the first event of a crashing answer to the crash. */
const CRASH_DELAY_MS = 40;
/** Time from a crash until the rest of the group breaks off its streams. */
const STALL_MS = 300;
/** Time from a crash until the engine has been replaced. */
const RESTART_MS = 600;
/** Time from a crash until the store removes the engine. */
const REMOVAL_MS = 900;

export class CrashingEngines {
  readonly #options: CrashingEnginesOptions;
  readonly #engines = new Set<SiteEngine>();
  /** Break off the answers in progress. */
  readonly #breakOffs = new Set<() => void>();
  readonly arrivals: Arrival[] = [];
  /** Times of the crashes. */
  readonly crashesMs: number[] = [];
  #lastNumber = 0;
  #downCount = 0;
  #isClosed = false;
  /** Resolves when the group no longer stalls. */
  #stall: Promise<unknown> = Promise.resolve();

  private constructor(options: CrashingEnginesOptions) {
    this.#options = options;
  }

  static async create(
    options: CrashingEnginesOptions,
  ): Promise<CrashingEngines> {
    const engines = new CrashingEngines(options);
    for (let index = 0; index < options.count; index++) {
      engines.#lastNumber += 1;
      await engines.#start(`rank-${engines.#lastNumber}`);
    }
    return engines;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all([...this.#engines].map((engine) => engine.close()));
  }

  async #start(id: string): Promise<void> {
    const { store, service } = this.#options;
    const engine = await SiteEngine.create(id);
    engine.script = (call) => void this.#answer(engine, call);
    this.#engines.add(engine);
    store.put("servers", id, {
      ...engine.createServerSpec({ service }),
      born: Date.now(),
    });
  }

  async #answer(engine: SiteEngine, call: EngineCall): Promise<void> {
    this.arrivals.push({ atMs: performance.now(), call });
    await this.#stall;
    if (this.#downCount > 0) return refuseAsNotRun(call);
    await delay(READ_MS);
    if (this.#downCount > 0 || !engine.isUp) return this.#refuseStalled(call);
    this.#write(engine, call);
  }

  async #refuseStalled(call: EngineCall): Promise<void> {
    await this.#stall;
    if (!call.response.destroyed) refuseAsNotRun(call);
  }

  #write(engine: SiteEngine, call: EngineCall): void {
    const { response, answerHeaders } = call;
    response.writeHead(200, {
      ...answerHeaders,
      "content-type": "text/event-stream",
    });
    let id = 0;
    const writeEvent = () => {
      if (this.#downCount > 0) return;
      id += 1;
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
      if (id < EVENT_COUNT) return;
      end();
      response.end();
    };
    const timer = setInterval(writeEvent, EVENT_INTERVAL_MS);
    const breakOff = () => {
      end();
      response.socket?.resetAndDestroy();
    };
    const end = () => {
      clearInterval(timer);
      this.#breakOffs.delete(breakOff);
    };
    this.#breakOffs.add(breakOff);
    response.on("close", end);
    writeEvent();
    if (!this.#options.isCrashing(call)) return;
    setTimeout(() => void this.#crash(engine), CRASH_DELAY_MS);
  }

  async #crash(engine: SiteEngine): Promise<void> {
    // An engine of a group that stalls makes no step, so it does not crash.
    if (this.#downCount > 0 || !engine.isUp) return;
    const { store, keepsIds = false } = this.#options;
    this.crashesMs.push(performance.now());
    this.#downCount += 1;
    this.#engines.delete(engine);
    void engine.close();
    this.#stall = delay(STALL_MS);
    await this.#stall;
    for (const breakOff of [...this.#breakOffs]) breakOff();
    await delay(RESTART_MS - STALL_MS);
    if (this.#isClosed) return;
    this.#lastNumber += 1;
    await this.#start(keepsIds ? engine.id : `rank-${this.#lastNumber}`);
    this.#downCount -= 1;
    if (keepsIds) return;
    await delay(REMOVAL_MS - RESTART_MS);
    store.remove("servers", engine.id);
  }
}
