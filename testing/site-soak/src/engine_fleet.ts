/** Engines that lose, spoil and refuse, crash, drain and come back elsewhere. */

import type { Random } from "@dandelionbank/message-queue";
import { HEADERS } from "@dandelionbank/platform-adapter";
import {
  type EngineCall,
  refuseAsNotRun,
  resetConnection,
  sendCompleteAnswer,
  SiteEngine,
  type SiteStore,
} from "@dandelionbank/standin-site";
import { setTimeout as delay } from "node:timers/promises";

const SERVICE = "s";
const MAX_WORK_MS = 40;
/** A drained engine serves on for a while. */
const LEAVE_MS = 800;

export class EngineFleet {
  readonly #store: SiteStore;
  readonly #random: Random;
  readonly #engines = new Set<SiteEngine>();
  /** When each attempt began to run, by its id. */
  readonly runs = new Map<string, number[]>();
  isSound = false;
  #started = 0;

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

  /** One engine goes down without a word, and another comes. */
  async crash(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    this.#engines.delete(engine);
    await engine.close();
    await this.#start();
    this.#store.remove("servers", engine.id);
  }

  /** One engine says that it leaves, serves on and goes. */
  async drain(): Promise<void> {
    const engine = this.#random.pick([...this.#engines]);
    this.#engines.delete(engine);
    await this.#start();
    const spec = engine.createServerSpec({
      service: SERVICE,
      state: "draining",
    });
    this.#store.put("servers", engine.id, spec);
    await delay(LEAVE_MS);
    this.#store.remove("servers", engine.id);
    await engine.close();
  }

  async close(): Promise<void> {
    await Promise.all([...this.#engines].map((engine) => engine.close()));
  }

  async #start(): Promise<void> {
    this.#started += 1;
    const engine = await SiteEngine.create(`engine-${this.#started}`);
    engine.script = (call) => void this.#serve(call);
    this.#engines.add(engine);
    const spec = engine.createServerSpec({ service: SERVICE });
    this.#store.put("servers", engine.id, spec);
  }

  async #serve(call: EngineCall): Promise<void> {
    const fate = this.isSound ? 100 : this.#random.int(1, 100);
    if (fate <= 6) return refuseAsNotRun(call);
    const id = String(call.headers[HEADERS.attemptId]);
    this.runs.set(id, [...this.runs.get(id) ?? [], performance.now()]);
    await delay(this.#random.int(0, MAX_WORK_MS));
    if (fate <= 10) return resetConnection(call);
    if (fate <= 13) return answerShort(call);
    if (fate <= 16) return answerTwice(call);
    // Nothing is ever answered.
    if (fate <= 18) return;
    sendCompleteAnswer(call);
  }
}

function answerShort({ response, answerHeaders }: EngineCall): void {
  response.writeHead(200, { ...answerHeaders, "content-length": 100 });
  response.write("half", () => response.socket?.destroy());
}

/** The second answer stands where that to the next request is due. */
function answerTwice(call: EngineCall): void {
  const { response, answerHeaders } = call;
  const { socket } = response;
  sendCompleteAnswer(call);
  const lines = Object.entries(answerHeaders).map((field) => field.join(": "));
  const head = ["HTTP/1.1 200 OK", ...lines, "Content-Length: 5"].join("\r\n");
  socket?.write(`${head}\r\n\r\nextra`);
}
