/**
 * Engines that refuse requests, drop and corrupt answers, crash, drain, announce
 * that they leave or want nothing for a time, and are replaced.
 */

import type { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  refuseAsNotRun,
  refuseFor,
  renderAnswerHead,
  resetConnection,
  sendCompleteAnswer,
  SiteEngine,
  type SiteStore,
} from "@dandelionbank/standin-site";
import { setTimeout as delay } from "node:timers/promises";
import { readEntryName } from "./checked_callers.ts";
import { NoticeChecks } from "./notice_checks.ts";

const SERVICE = "s";
const MAX_SERVICE_TIME_MS = 40;
/** Time that a draining engine continues to serve before it closes. */
const DRAIN_MS = 800;
/** Time that a leaving engine, which stays registered, serves before it closes. */
const LEAVING_MS = 2_500;
/** Range of the times for which an engine wants nothing. */
const MIN_NOT_BEFORE_MS = 800;
const MAX_NOT_BEFORE_MS = 1_800;
const MS_PER_S = 1_000;

export class EngineFleet {
  readonly #store: SiteStore;
  readonly #random: Random;
  readonly #engines = new Set<SiteEngine>();
  /** Start times of each attempt's runs, by its ID. */
  readonly runs = new Map<string, number[]>();
  readonly notices = NoticeChecks.create();
  readonly #leaving = new Set<SiteEngine>();
  /** Engines that are registered, and their states. */
  readonly #registered = new Map<SiteEngine, "ready" | "draining">();
  readonly #removedIds = new Set<string>();
  /** Until when each engine refuses, by `performance.now()`. */
  readonly #refusesUntilMs = new Map<SiteEngine, number>();
  /** Whether every request is answered correctly, without injected faults. */
  isHealthy = false;
  #startCount = 0;

  private constructor(store: SiteStore, random: Random) {
    this.#store = store;
    this.#random = random;
  }

  static async create(
    count: number,
    { store, random }: { readonly store: SiteStore; readonly random: Random },
  ): Promise<EngineFleet> {
    const fleet = new EngineFleet(store, random);
    for (let index = 0; index < count; index++) await fleet.#start();
    return fleet;
  }

  /** Closes an engine without notice and starts another one. */
  async crash(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    this.#engines.delete(engine);
    await engine.close();
    await this.#start();
    this.#remove(engine);
  }

  /** Starts a replacement, marks an engine as draining and closes it after `DRAIN_MS`. */
  async drain(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    this.#engines.delete(engine);
    await this.#start();
    this.#register(engine, "draining");
    await delay(DRAIN_MS);
    this.#remove(engine);
    await engine.close();
  }

  /**
   * Starts a replacement, announces in all answers of an engine that it leaves,
   * and closes it; until then it stays registered as ready.
   */
  async leave(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    this.#engines.delete(engine);
    await this.#start();
    this.#leaving.add(engine);
    await delay(LEAVING_MS);
    this.#remove(engine);
    await delay(DRAIN_MS);
    await engine.close();
  }

  /** Lets an engine refuse everything for a time that it announces. */
  refuse(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    const forMs = this.#random.int(MIN_NOT_BEFORE_MS, MAX_NOT_BEFORE_MS);
    this.#refusesUntilMs.set(engine, performance.now() + forMs);
    return Promise.resolve();
  }

  /** Writes all registrations again, after the store has lost some. */
  registerAgain(): void {
    for (const [engine, state] of this.#registered) {
      this.#register(engine, state);
    }
    for (const id of this.#removedIds) {
      if (this.#store.read("servers", id) === undefined) continue;
      this.#store.remove("servers", id);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#engines].map((engine) => engine.close()));
  }

  async #start(): Promise<void> {
    this.#startCount += 1;
    const engine = await SiteEngine.create(`engine-${this.#startCount}`);
    engine.script = (call) => void this.#serve(engine, call);
    this.#engines.add(engine);
    this.#register(engine, "ready");
  }

  #register(engine: SiteEngine, state: "ready" | "draining"): void {
    this.#registered.set(engine, state);
    const spec = engine.createServerSpec({ service: SERVICE, state });
    this.#store.put("servers", engine.id, spec);
  }

  #remove(engine: SiteEngine): void {
    this.#registered.delete(engine);
    this.#removedIds.add(engine.id);
    this.#store.remove("servers", engine.id);
  }

  async #serve(engine: SiteEngine, original: EngineCall): Promise<void> {
    const entry = readEntryName(original.body);
    const contact = { engine: engine.id, entry };
    this.notices.recordArrival(contact);
    if (this.#refuseForTime(engine, original)) return;
    const call = this.#leaving.has(engine)
      ? {
        ...original,
        answerHeaders: {
          ...original.answerHeaders,
          [HEADERS.targetLeaving]: "1",
        },
      }
      : original;
    // From 1 to 100, in percent: up to 18 a fault, above it a complete answer.
    const roll = this.isHealthy ? 100 : this.#random.int(1, 100);
    if (roll <= 6) return refuseAsNotRun(call);
    const id = String(call.headers[HEADERS.attemptId]);
    this.runs.set(id, [...this.runs.get(id) ?? [], performance.now()]);
    await delay(this.#random.int(0, MAX_SERVICE_TIME_MS));
    if (roll <= 10) return resetConnection(call);
    if (roll <= 13) return answerTruncated(call);
    if (roll <= 16) return answerTwice(call);
    // The engine never answers this request.
    if (roll <= 18) return;
    if (call !== original) {
      this.notices.recordAnnouncement(contact, Infinity);
    }
    sendCompleteAnswer(call);
  }

  /** Refuses the request if the engine wants nothing now. */
  #refuseForTime(engine: SiteEngine, call: EngineCall): boolean {
    const forMs = (this.#refusesUntilMs.get(engine) ?? 0) - performance.now();
    if (forMs <= 0) return false;
    const entry = readEntryName(call.body);
    this.notices.recordAnnouncement({ engine: engine.id, entry }, forMs);
    refuseFor((forMs / MS_PER_S).toFixed(3))(call);
    return true;
  }
}

function answerTruncated({ response, answerHeaders }: EngineCall): void {
  response.writeHead(200, { ...answerHeaders, "content-length": 100 });
  response.write("half", () => response.socket?.destroy());
}

/** Sends a second answer, which an entry could take for the answer to its next request. */
function answerTwice(call: EngineCall): void {
  const { socket } = call.response;
  sendCompleteAnswer(call);
  const head = renderAnswerHead(call, { fields: { "content-length": 5 } });
  socket?.write(`${head}extra`);
}
