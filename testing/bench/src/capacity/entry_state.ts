/** Memory of an entry for each contract, target and peer entry, and the cost of a change. */

import {
  createViewState,
  stepView,
  type ViewState,
} from "@dandelionbank/fold-view";
import { AgentFollower, EntryFollower } from "@dandelionbank/follow-peers";
import { createTextHash, type TextHash } from "@dandelionbank/hash-text";
import { Registry } from "@dandelionbank/metrics";
import { checkName, parseValue } from "@dandelionbank/parse-objects";
import {
  RequestMetrics,
  RequestTask,
  TicketSigner,
} from "@dandelionbank/route-requests";
import type { ObjectChange, StoredObject } from "@dandelionbank/types";
import type { Figure } from "../bench.ts";
import { readLiveBytes } from "./heap.ts";
import { type Point, toFigures } from "./slope.ts";
import {
  createAgent,
  createContract,
  createEntry,
  createObject,
} from "./view_objects.ts";

const SIZES = [200, 400, 800, 1_600] as const;
const CHANGE_COUNT = 200;
/** No process listens on this port; the followers send their first call after 1 s. */
const PEER_URL = "http://127.0.0.1:9";
const INCARNATION = "entry-incarnation-0";
const SECRET = "secret-of-the-bench";

type CreateObject = (number: number) => StoredObject;

interface ObjectFactory {
  /** Part of the figures' names. */
  readonly name: string;
  readonly create: CreateObject;
}

const OBJECT_FACTORIES: readonly ObjectFactory[] = [
  {
    name: "Contract",
    create: (number) =>
      createObject(
        { kind: "contract", name: `organisation-${number}` },
        createContract(number),
      ),
  },
  {
    name: "Target",
    create: (number) =>
      createObject(
        { kind: "agent", name: `target-${number}` },
        createAgent(number, PEER_URL),
      ),
  },
  {
    name: "PeerEntry",
    create: (number) =>
      createObject(
        { kind: "entry", name: `entry-${number}` },
        createEntry(number, PEER_URL),
      ),
  },
];

export async function measureEntryState(): Promise<readonly Figure[]> {
  const hash = await createTextHash();
  const figures: Figure[] = [];
  for (const { name, create } of OBJECT_FACTORIES) {
    const bytes: Point[] = [];
    const changes: Point[] = [];
    for (const size of SIZES) {
      const measured = await measure({ size, create, hash });
      bytes.push({ size, value: measured.bytes });
      changes.push({ size, value: measured.changeUs });
    }
    figures.push(
      ...toFigures({ name: `entryBytesPer${name}`, unit: "B" }, bytes),
      ...toFigures(
        { name: `entryChangeCpuPer${name}`, unit: "us/change" },
        changes,
      ),
    );
  }
  return figures;
}

/** Measures the memory that a number of objects takes, and the cost of one change. */
async function measure(
  options: {
    readonly size: number;
    readonly create: CreateObject;
    readonly hash: TextHash;
  },
): Promise<{ readonly bytes: number; readonly changeUs: number }> {
  const { size, create, hash } = options;
  const before = readLiveBytes();
  const entry = EntryTasks.create(hash);
  entry.applyList(
    Array.from({ length: size }, (_, number) => create(number + 1)),
  );
  const bytes = readLiveBytes() - before;
  const startUs = readCpuUs();
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const object = create(change % size + 1);
    const revision = change + 10;
    entry.applyChange({ type: "put", object: { ...object, revision } });
  }
  const changeUs = (readCpuUs() - startUs) / CHANGE_COUNT;
  await entry.stop();
  return { bytes, changeUs };
}

/** The tasks of an entry that apply views. */
class EntryTasks {
  readonly #requests: RequestTask;
  readonly #agents: AgentFollower;
  readonly #entries: EntryFollower;
  #state: ViewState = createViewState((object) => {
    const parsed = parseValue(object.kind, object.value);
    if (parsed.kind === "invalid") return parsed;
    const { value } = parsed;
    const problems = checkName(object.kind, { name: object.name, value });
    return problems.length === 0 ? parsed : { kind: "invalid", problems };
  });

  private constructor(hash: TextHash) {
    const names = { entry: "entry-0", incarnation: INCARNATION, hash };
    const access = { peerSecret: SECRET, timeoutMs: 1_000 };
    this.#requests = RequestTask.create({
      ...names,
      peerSecret: SECRET,
      logger: { log: () => {} },
      tickets: TicketSigner.create({
        incarnation: INCARNATION,
        secret: SECRET,
      }),
      metrics: RequestMetrics.create(new Registry()),
      findHome: () => ({ kind: "lost" }),
      onHomeUnreachable: () => {},
      onKeyedRequest: () => {},
      broadcastLosses: () => {},
      broadcastQuarantine: () => {},
      readNowMs: () => performance.now(),
    });
    this.#agents = AgentFollower.create({
      ...names,
      access,
      isLeaving: () => false,
      onStatus: () => {},
      onNoAnswer: () => {},
    });
    this.#entries = EntryFollower.create({
      ...names,
      access,
      onLost: () => {},
    });
  }

  static create(hash: TextHash): EntryTasks {
    return new EntryTasks(hash);
  }

  applyList(items: readonly StoredObject[]): void {
    this.#applyEvent({ type: "listed", list: { items, revision: 1 } });
  }

  applyChange(change: ObjectChange): void {
    this.#applyEvent({ type: "changed", change });
  }

  async stop(): Promise<void> {
    this.#agents.stop();
    this.#entries.stop();
    await this.#requests.stop();
  }

  #applyEvent(event: Parameters<typeof stepView>[1]): void {
    const { state, effects } = stepView(this.#state, event);
    this.#state = state;
    for (const effect of effects) {
      if (effect.type === "objectRefused") {
        throw new Error(effect.problems.join("; "));
      }
      if (effect.type !== "viewChanged") continue;
      this.#requests.applyView(effect.view);
      this.#agents.applyView(effect.view);
      this.#entries.applyView(effect.view);
    }
  }
}

function readCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}
