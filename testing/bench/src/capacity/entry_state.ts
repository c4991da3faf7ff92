/** What an entry keeps for each contract, target and peer, and what a change costs. */

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
  TicketOffice,
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
const CHANGES = 200;
/** Nothing listens there: nothing is sent before a second has passed. */
const PEER_URL = "http://127.0.0.1:9";
const INCARNATION = "entry-incarnation-0";
const SECRET = "secret-of-the-bench";

type MakeObject = (number: number) => StoredObject;

interface KindOfObject {
  readonly name: string;
  readonly make: MakeObject;
}

const KINDS: readonly KindOfObject[] = [
  {
    name: "Contract",
    make: (number) =>
      createObject(
        { kind: "contract", name: `organisation-${number}` },
        createContract(number),
      ),
  },
  {
    name: "Target",
    make: (number) =>
      createObject(
        { kind: "agent", name: `target-${number}` },
        createAgent(number, PEER_URL),
      ),
  },
  {
    name: "PeerEntry",
    make: (number) =>
      createObject(
        { kind: "entry", name: `entry-${number}` },
        createEntry(number, PEER_URL),
      ),
  },
];

export async function measureEntryState(): Promise<readonly Figure[]> {
  const hash = await createTextHash();
  const figures: Figure[] = [];
  for (const { name, make } of KINDS) {
    const bytes: Point[] = [];
    const changes: Point[] = [];
    for (const size of SIZES) {
      const measured = await measure({ size, make, hash });
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

async function measure(
  options: {
    readonly size: number;
    readonly make: MakeObject;
    readonly hash: TextHash;
  },
): Promise<{ readonly bytes: number; readonly changeUs: number }> {
  const { size, make, hash } = options;
  const before = readLiveBytes();
  const entry = Entry.create(hash);
  entry.list(Array.from({ length: size }, (_, number) => make(number + 1)));
  const bytes = readLiveBytes() - before;
  const startUs = cpuUs();
  for (let change = 0; change < CHANGES; change++) {
    const object = make(change % size + 1);
    const revision = change + 10;
    entry.change({ type: "put", object: { ...object, revision } });
  }
  const changeUs = (cpuUs() - startUs) / CHANGES;
  await entry.stop();
  return { bytes, changeUs };
}

/** The tasks of an entry that follow the view. */
class Entry {
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
      tickets: TicketOffice.create({
        incarnation: INCARNATION,
        secret: SECRET,
      }),
      metrics: RequestMetrics.create(new Registry()),
      findHome: () => ({ kind: "lost" }),
      onHomeSilent: () => {},
      onKeyedRequest: () => {},
      tellLosses: () => {},
      tellQuarantine: () => {},
      readNowMs: () => performance.now(),
    });
    this.#agents = AgentFollower.create({
      ...names,
      access,
      isLeaving: () => false,
      onHeard: () => {},
      onSilent: () => {},
    });
    this.#entries = EntryFollower.create({
      ...names,
      access,
      onLost: () => {},
    });
  }

  static create(hash: TextHash): Entry {
    return new Entry(hash);
  }

  list(items: readonly StoredObject[]): void {
    this.#fold({ type: "listed", list: { items, revision: 1 } });
  }

  change(change: ObjectChange): void {
    this.#fold({ type: "changed", change });
  }

  async stop(): Promise<void> {
    this.#agents.stop();
    this.#entries.stop();
    await this.#requests.stop();
  }

  #fold(event: Parameters<typeof stepView>[1]): void {
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

function cpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}
